package commander

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

const (
	outputTable = "table"
	outputJSON  = "json"
)

func outputFlag() cli.Flag {
	return &cli.StringFlag{
		Name:  "output",
		Usage: "output format: table or json",
		Value: outputTable,
		Validator: func(v string) error {
			if v != outputTable && v != outputJSON {
				return fmt.Errorf("output %q is not one of table, json", v)
			}
			return nil
		},
	}
}

// printMessage prints a protobuf message as JSON, unset fields included.
func printMessage(w io.Writer, m proto.Message) error {
	text, err := protojson.MarshalOptions{Multiline: true, EmitUnpopulated: true}.Marshal(m)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(w, string(text))
	return err
}

// printJSON prints a Go value as indented JSON.
func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// printTable prints a table with a header row.
func printTable(w io.Writer, header table.Row, rows []table.Row) {
	t := table.NewWriter()
	t.SetOutputMirror(w)
	t.SetStyle(table.StyleLight)
	t.AppendHeader(header)
	t.AppendRows(rows)
	t.Render()
}
