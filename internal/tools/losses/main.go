// Command losses prints where the worth of played days was lost, beside the least
// loss that is possible.
//
//	go run ./internal/tools/losses --site SITE.toml REPORT...
//
// SITE.toml is a site file of the users' bench. A report is a file that the bench
// wrote with --report; the part of its name before the first "." is the name of
// the day, the rest distinguishes plays of one day.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/platform/dayreport"
)

func main() {
	command := &cli.Command{
		Name: "losses", Usage: "print where the worth of played days was lost", ArgsUsage: "REPORT...",
		Flags:  []cli.Flag{&cli.StringFlag{Name: "site", Usage: "site file of the bench", Required: true}},
		Action: func(_ context.Context, c *cli.Command) error { return run(c.String("site"), c.Args().Slice()) },
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run prints the tables for the reports of one site.
func run(sitePath string, paths []string) error {
	data, err := os.ReadFile(sitePath)
	if err != nil {
		return err
	}
	site, err := dayreport.DecodeSite(data)
	if err != nil {
		return err
	}
	var plays []dayreport.Play
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		report, err := dayreport.DecodeReport(data)
		if err != nil {
			return errs.Wrap(err, errs.InvalidInput, "", "read %s", path)
		}
		day, _, _ := strings.Cut(filepath.Base(path), ".")
		plays = append(plays, dayreport.Play{Day: day, Report: report})
	}
	table, err := dayreport.Table(site, plays)
	if err != nil {
		return err
	}
	fmt.Print(table)
	return nil
}
