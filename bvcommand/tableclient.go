package bvcommand

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"balsamvalve.example/bvoperator"
	"balsamvalve.example/bvresponse"
	"balsamvalve.example/bvtable"
)

func (flags *tableCommand) client() (*bvoperator.Client, error) {
	address := firstNonEmpty(flags.address, os.Getenv(operatorEnvironment), defaultOperatorAddress)
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, usageError{fmt.Errorf("--operator-address: %q is not an IP number with a port", address)}
	}
	key, err := flags.key()
	if err != nil {
		return nil, usageError{err}
	}
	client := &bvoperator.Client{Address: address, Key: key, HTTP: &http.Client{Timeout: tableTimeout.Std()}}
	if flags.caFile == "" {
		client.HTTP.Transport = bvresponse.NewDefaultTransport()
		return client, nil
	}
	content, err := os.ReadFile(flags.caFile)
	if err != nil {
		return nil, usageError{fmt.Errorf("--ca: %w", err)}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(content) {
		return nil, usageError{fmt.Errorf("--ca: %s has no certificate in PEM form", flags.caFile)}
	}
	client.TLS = true
	client.HTTP.Transport = bvresponse.NewTransport(&http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}})
	return client, nil
}

func (flags *tableCommand) key() (string, error) {
	if flags.keyFile == "" {
		key := strings.TrimSpace(os.Getenv(keyEnvironment))
		if key == "" {
			return "", fmt.Errorf("no key: set %s or --key-file", keyEnvironment)
		}
		return key, nil
	}
	content, err := os.ReadFile(flags.keyFile)
	if err != nil {
		return "", fmt.Errorf("--key-file: %w", err)
	}
	return strings.TrimSpace(string(content)), nil
}

func firstNonEmpty(texts ...string) string {
	for _, text := range texts {
		if text != "" {
			return text
		}
	}
	return ""
}

func parseCells(name bvtable.RowName, args []string, remove bool) ([]bvtable.CellEdit, error) {
	if remove && len(args) > 0 {
		return nil, errors.New("--remove takes no cells")
	}
	if remove {
		return []bvtable.CellEdit{{Member: name.Member, Class: name.Class, Column: bvtable.Presence, New: bvtable.Absent}}, nil
	}
	if len(args) == 0 {
		return nil, errors.New("no cells: column=value is needed")
	}
	var cells []bvtable.CellEdit
	for _, arg := range args {
		column, text, found := strings.Cut(arg, "=")
		if !found {
			return nil, fmt.Errorf("%q is not column=value", arg)
		}
		known, err := bvtable.ParseColumn(column)
		if err != nil {
			return nil, err
		}
		cells = append(cells, bvtable.CellEdit{Member: name.Member, Class: name.Class, Column: known, New: text})
	}
	return cells, nil
}

// setExpected sets the current contents of the cells as their old ones, so that an
// edit by another operator between this read and the change is a conflict and is not
// overwritten.
func setExpected(command *cobra.Command, client *bvoperator.Client, cells []bvtable.CellEdit) error {
	view, err := client.Get(command.Context())
	if err != nil {
		return err
	}
	table := bvtable.NewTable(view.Version, view.Rows)
	for i := range cells {
		old := table.CellText(cells[i].Row(), cells[i].Column)
		cells[i].Old = &old
	}
	return nil
}

func parseShares(args []string) ([]bvtable.MemberShare, error) {
	var shares []bvtable.MemberShare
	for _, arg := range args {
		member, text, found := strings.Cut(arg, "=")
		share, err := strconv.ParseFloat(text, 64)
		if !found || err != nil {
			return nil, fmt.Errorf("%q is not member=share", arg)
		}
		shares = append(shares, bvtable.MemberShare{Member: member, Share: share})
	}
	return shares, nil
}

func readInput(command *cobra.Command, path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(command.InOrStdin())
	}
	return os.ReadFile(path)
}

func selectRow(rows []bvtable.Row, name bvtable.RowName) ([]bvtable.Row, error) {
	for _, row := range rows {
		if row.Name() == name {
			return []bvtable.Row{row}, nil
		}
	}
	return nil, fmt.Errorf("row %s does not exist or is not visible with this key", name)
}
