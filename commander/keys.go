package commander

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/jackdawthread/jackdawthread/certifier"
)

// File names of the certificate authority.
const (
	authorityFile    = "authority.pem"
	authorityKeyFile = "authority-key.pem"
)

const defaultValidity = 365 * 24 * time.Hour

func keysCommand(s Streams) *cli.Command {
	return &cli.Command{
		Name:     "keys",
		Usage:    "create TLS certificates for the connections between entry hosts",
		Commands: []*cli.Command{authorityCommand(s), issueCommand(s)},
	}
}

func keysFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "out", Usage: "directory to write to", Value: "."},
		&cli.DurationFlag{Name: "validity", Usage: "validity period of the certificate", Value: defaultValidity},
	}
}

func authorityCommand(s Streams) *cli.Command {
	return &cli.Command{
		Name:  "authority",
		Usage: "create a certificate authority that signs hosts' certificates",
		Description: `Writes authority.pem and authority-key.pem.
Example: jackdawthread keys authority --name tamsui --out keys`,
		Flags: append(keysFlags(), &cli.StringFlag{Name: "name", Usage: "name of the authority", Required: true}),
		Action: func(_ context.Context, c *cli.Command) error {
			a, err := certifier.NewAuthority(c.String("name"), time.Now(), c.Duration("validity"))
			if err != nil {
				return err
			}
			return writePair(s, &a.Pair, c.String("out"), authorityFile, authorityKeyFile)
		},
	}
}

func issueCommand(s Streams) *cli.Command {
	return &cli.Command{
		Name:  "issue",
		Usage: "issue a host's certificate",
		Description: `The first name is the host's; the others are the DNS names and IP addresses at
which peers reach it. Writes NAME.pem and NAME-key.pem.
Example: jackdawthread keys issue --authority keys --name entry-1 --name 10.0.0.1 --out keys`,
		Flags: append(keysFlags(),
			&cli.StringFlag{Name: "authority", Usage: "directory with the authority's files", Value: "."},
			&cli.StringSliceFlag{Name: "name", Usage: "name or IP address of the host", Required: true}),
		Action: func(_ context.Context, c *cli.Command) error { return issue(c, s) },
	}
}

func issue(c *cli.Command, s Streams) error {
	a, err := readAuthority(c.String("authority"))
	if err != nil {
		return err
	}
	names := c.StringSlice("name")
	pair, err := a.Issue(names, time.Now(), c.Duration("validity"))
	if err != nil {
		return err
	}
	return writePair(s, pair, c.String("out"), names[0]+".pem", names[0]+"-key.pem")
}

func readAuthority(dir string) (*certifier.Authority, error) {
	certificate, err := os.ReadFile(filepath.Join(dir, authorityFile))
	if err != nil {
		return nil, fmt.Errorf("authority's certificate can't be read: %w", err)
	}
	key, err := os.ReadFile(filepath.Join(dir, authorityKeyFile))
	if err != nil {
		return nil, fmt.Errorf("authority's key can't be read: %w", err)
	}
	return certifier.LoadAuthority(&certifier.Pair{Certificate: certificate, Key: key})
}

func writePair(s Streams, p *certifier.Pair, dir, certificate, key string) error {
	certificate, key = filepath.Join(dir, certificate), filepath.Join(dir, key)
	if err := p.Write(certificate, key); err != nil {
		return err
	}
	_, err := fmt.Fprintf(s.Out, "wrote %s and %s\n", certificate, key)
	return err
}
