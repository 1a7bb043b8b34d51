// Package configuration holds the active object set of a node and tracks when it was last confirmed to be the newest.
package configuration

import (
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"sequoiastall/internal/core/object"
)

// StoreKey is the key of the published document.
const StoreKey = "cell/config"

// Document is a published object set in the form in which it is stored and sent between nodes.
type Document struct {
	Revision int64  `json:"revision"`         // grows by one with each publication
	Digest   string `json:"digest"`           // SHA-256 of Data in hexadecimal digits
	Data     []byte `json:"data"`             // canonical JSON of the object set
	Writer   string `json:"writer,omitempty"` // random ID of the publication; identifies a write whose response was lost
}

// NewDocument encodes a set that was checked before.
func NewDocument(set object.Set, revision int64, writer string) (Document, error) {
	data, err := object.Encode(set)
	if err != nil {
		return Document{}, err
	}
	return Document{Revision: revision, Digest: object.Digest(data), Data: data, Writer: writer}, nil
}

// Marshal returns the value that the store keeps at StoreKey.
func (d Document) Marshal() ([]byte, error) {
	data, err := json.Marshal(d)
	return data, errors.Wrap(err, "encode configuration")
}

// Unmarshal reads the value that the store keeps at StoreKey. It doesn't decode the object set; Decode and
// Holder.Offer do.
func Unmarshal(value []byte) (Document, error) {
	var d Document
	if err := json.Unmarshal(value, &d); err != nil {
		return Document{}, errors.Wrap(err, "decode configuration")
	}
	return d, nil
}

// Decode checks the revision and the digest and returns the object set. It fails with *InvalidError.
func (d Document) Decode() (object.Set, error) {
	if d.Revision <= 0 {
		return object.Set{}, &InvalidError{Revision: d.Revision, Reason: "revision isn't positive"}
	}
	if digest := object.Digest(d.Data); digest != d.Digest {
		return object.Set{}, &InvalidError{Revision: d.Revision, Reason: "digest is " + digest + ", not " + d.Digest}
	}
	set, err := object.Decode(d.Data)
	if err != nil {
		return object.Set{}, &InvalidError{Revision: d.Revision, Reason: err.Error()}
	}
	return set, nil
}

// InvalidError reports that a document can't be applied.
type InvalidError struct {
	Revision int64
	Reason   string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("configuration revision %d is invalid: %s", e.Revision, e.Reason)
}

// DivergedError reports two documents with the same revision and different content. The active one stays active.
type DivergedError struct {
	Revision        int64
	Active, Offered string // digests
}

// Error implements error.
func (e *DivergedError) Error() string {
	return fmt.Sprintf("configuration revision %d has digest %s here and %s elsewhere", e.Revision, e.Active, e.Offered)
}
