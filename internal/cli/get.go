package cli

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/spf13/cobra"

	"sequoiastall/internal/core/object"
)

func newGet(d Dependencies) *cobra.Command {
	var platform string
	var names []string
	for _, k := range object.Kinds() {
		names = append(names, string(k))
	}
	cmd := &cobra.Command{
		Use:       "get KIND [NAME]",
		Short:     "Show published objects",
		Long:      "Shows the objects of a kind in the published set, or the one with a name. Kinds: " + strings.Join(names, ", ") + ".\n\n" + exitHelp,
		Args:      cobra.RangeArgs(1, 2),
		ValidArgs: names,
		RunE: func(cmd *cobra.Command, args []string) error {
			kind, ok := parseKind(args[0])
			if !ok {
				return exitErrorf(ExitUsage, "unknown kind %q, must be one of %s", args[0], strings.Join(names, ", "))
			}
			store, closeStore, err := d.store(platform)
			if err != nil {
				return err
			}
			defer func() { _ = closeStore() }() // only reads were made, so an error on closing is ignored
			published, err := readPublished(cmd.Context(), store)
			if err != nil {
				return err
			}
			var found []object.Entry
			for _, e := range published.set.Entries() {
				if e.Kind == kind && (len(args) == 1 || e.Name == args[1]) {
					found = append(found, e)
				}
			}
			if len(args) == 2 && len(found) == 0 {
				return exitErrorf(ExitFailure, "%s %q isn't in revision %d", kind, args[1], published.document.Revision)
			}
			return printObjects(cmd, published.document.Revision, found)
		},
	}
	cmd.Flags().StringVar(&platform, "platform", defaultPlatform, "IP:port of the platform")
	return cmd
}

// parseKind parses the name of a kind in singular or plural, in any case, and with hyphens or underscores.
func parseKind(text string) (object.Kind, bool) {
	text = strings.ReplaceAll(strings.ToLower(text), "-", "_")
	for _, k := range object.Kinds() {
		plural := string(k) + "s"
		if k == object.KindRetryPolicy {
			plural = "retry_policies"
		}
		if text == string(k) || text == plural {
			return k, true
		}
	}
	return "", false
}

// objectList is the JSON output of get.
type objectList struct {
	Revision int64 `json:"revision"`
	Objects  []any `json:"objects"`
}

func printObjects(cmd *cobra.Command, revision int64, found []object.Entry) error {
	if wantsJSON(cmd) {
		list := objectList{Revision: revision, Objects: []any{}}
		for _, e := range found {
			list.Objects = append(list.Objects, e.Object)
		}
		return printJSON(cmd.OutOrStdout(), list)
	}
	var rows [][]string
	for _, e := range found {
		details, err := formatFields(e.Object)
		if err != nil {
			return err
		}
		rows = append(rows, []string{e.Name, details})
	}
	return printTable(cmd.OutOrStdout(), []string{"NAME", "FIELDS"}, rows)
}

// formatFields formats the fields of an object other than kind and name as field=value, in the order in which its type
// declares them.
func formatFields(obj any) (string, error) {
	data, err := json.Marshal(obj)
	if err != nil {
		return "", err
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	if _, err := decoder.Token(); err != nil {
		return "", err
	}
	var fields []string
	for decoder.More() {
		name, err := decoder.Token()
		if err != nil {
			return "", err
		}
		var value json.RawMessage
		if err := decoder.Decode(&value); err != nil {
			return "", err
		}
		if name != "kind" && name != "name" {
			fields = append(fields, name.(string)+"="+strings.Trim(string(value), `"`))
		}
	}
	return strings.Join(fields, " "), nil
}
