package settings

import (
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"strings"
)

// Print writes settings as JSON with a comment for each setting. Parse reads what Print writes.
func Print(w io.Writer, s Settings) error {
	var b strings.Builder
	b.WriteString("// Settings of a serve process. A setting that is left out has its default.\n")
	if err := printStruct(&b, reflect.ValueOf(s), ""); err != nil {
		return err
	}
	b.WriteString("\n")
	_, err := io.WriteString(w, b.String())
	return err
}

func printStruct(b *strings.Builder, v reflect.Value, indent string) error {
	b.WriteString("{\n")
	for i := range v.NumField() {
		field := v.Type().Field(i)
		fmt.Fprintf(b, "%s  // %s\n%s  %q: ", indent, field.Tag.Get("doc"), indent, field.Tag.Get("json"))
		if field.Type.Kind() == reflect.Struct {
			if err := printStruct(b, v.Field(i), indent+"  "); err != nil {
				return err
			}
		} else {
			data, err := json.Marshal(v.Field(i).Interface())
			if err != nil {
				return err
			}
			b.Write(data)
		}
		b.WriteString(",\n")
	}
	b.WriteString(indent + "}")
	return nil
}
