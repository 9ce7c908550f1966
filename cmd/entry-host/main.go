// Command entry-host runs a forwarding host on the operators' machines.
//
// # Usage
//
//	entry-host
//
// The environment variable [platform.SettingsVariable] names the file with its
// settings. SIGTERM and SIGINT shut it down gracefully; SIGHUP reloads its settings.
package main

import (
	"fmt"
	"os"

	"github.com/jackdawthread/jackdawthread/hoster"
	"github.com/jackdawthread/jackdawthread/platform"
)

func main() {
	connect := func(s *hoster.Settings) hoster.Platform {
		return platform.New(platform.Options{Store: s.Store.Address, MaxBuffered: s.Limits.MaxBuffered()})
	}
	if err := hoster.Run(os.Getenv(platform.SettingsVariable), connect, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
