package object

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"
)

// Diff lists the changes from one set to another, sorted by kind and name.
func Diff(before, after Set) []Change {
	old := map[Meta]any{}
	for _, e := range before.Entries() {
		old[e.Meta] = e.Object
	}
	var changes []Change
	for _, e := range after.Entries() {
		previous, existed := old[e.Meta]
		delete(old, e.Meta)
		if !existed {
			changes = append(changes, Change{Action: Added, Kind: e.Kind, Name: e.Name})
		} else if fields := changedFields(previous, e.Object); fields != nil {
			changes = append(changes, Change{Action: Changed, Kind: e.Kind, Name: e.Name, Fields: fields})
		}
	}
	for meta := range old {
		changes = append(changes, Change{Action: Removed, Kind: meta.Kind, Name: meta.Name})
	}
	kinds := Kinds()
	slices.SortFunc(changes, func(a, b Change) int {
		if a.Kind != b.Kind {
			return slices.Index(kinds, a.Kind) - slices.Index(kinds, b.Kind)
		}
		return strings.Compare(a.Name, b.Name)
	})
	return changes
}

func changedFields(a, b any) []string {
	before, after := encodedFields(a), encodedFields(b)
	var names []string
	for name, value := range after {
		if !bytes.Equal(before[name], value) {
			names = append(names, name)
		}
	}
	for name := range before {
		if _, kept := after[name]; !kept {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func encodedFields(object any) map[string]json.RawMessage {
	fields := map[string]json.RawMessage{}
	data, err := json.Marshal(object)
	if err == nil {
		err = json.Unmarshal(data, &fields)
	}
	if err != nil {
		panic("object: " + err.Error()) // objects consist of strings, numbers and lists only
	}
	return fields
}
