package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"sequoiastall/internal/core/object"
)

const (
	outputTable = "table"
	outputJSON  = "json"
)

// outputFlag is the value of --output. It implements pflag.Value.
type outputFlag struct{ value string }

func (f *outputFlag) String() string { return f.value }
func (f *outputFlag) Type() string   { return "format" }

func (f *outputFlag) Set(value string) error {
	if value != outputTable && value != outputJSON {
		return errors.Errorf("%q is neither table nor json", value)
	}
	f.value = value
	return nil
}

func wantsJSON(cmd *cobra.Command) bool {
	flag := cmd.Flag("output")
	return flag != nil && flag.Value.String() == outputJSON
}

func printJSON(w io.Writer, v any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	return encoder.Encode(v)
}

// printTable writes a header and rows in aligned columns.
func printTable(w io.Writer, header []string, rows [][]string) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range append([][]string{header}, rows...) {
		fmt.Fprintln(t, strings.Join(row, "\t"))
	}
	return t.Flush()
}

func printChanges(w io.Writer, changes []object.Change) error {
	var rows [][]string
	for _, c := range changes {
		rows = append(rows, []string{string(c.Action), string(c.Kind), c.Name, strings.Join(c.Fields, ",")})
	}
	return printTable(w, []string{"CHANGE", "KIND", "NAME", "FIELDS"}, rows)
}
