// Command playcost prints the processor time of the plays in journal entries and marks
// those above three quarters of the limit for a day.
//
// # Usage
//
//	go run ./scripts/playcost -limit 717 journal/20260102T030405-0a1b2c3d.json
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
)

// warnShare is the share of the limit above which a play is marked.
const warnShare = 0.75

// entry holds the fields of a journal entry that are read.
type entry struct {
	ID   string `json:"id"`
	Site string `json:"site"`
	Days []struct {
		Name  string  `json:"name"`
		Hosts int     `json:"balancers"`
		Spent float64 `json:"cpu_s"`
	} `json:"days"`
}

func main() {
	limit := flag.Float64("limit", 600, "seconds of processor time that a day may take")
	flag.Parse()
	for _, path := range flag.Args() {
		if err := show(path, *limit); err != nil {
			fmt.Fprintln(os.Stderr, "playcost:", err)
			os.Exit(1)
		}
	}
}

func show(path string, limit float64) error {
	content, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var entry entry
	if err := json.Unmarshal(content, &entry); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	for _, day := range entry.Days {
		mark := ""
		if day.Spent > warnShare*limit {
			mark = "  NEAR THE LIMIT"
		}
		fmt.Printf("%s %-24s %-24s %4d hosts %6.0f of %.0f s%s\n", entry.ID, entry.Site, day.Name, day.Hosts, day.Spent, limit, mark)
	}
	return nil
}
