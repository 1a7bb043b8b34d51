// Package configuration holds the object set that is in force at a node and knows how fresh it is.
package configuration

import (
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"sequoiastall/internal/core/object"
)

// StoreKey is the key of the published document.
const StoreKey = "cell/config"

// Document is a published object set as the store and the peers carry it.
type Document struct {
	Revision int64  `json:"revision"`         // grows by one with each publication
	Digest   string `json:"digest"`           // SHA-256 of Data in hexadecimal digits
	Data     []byte `json:"data"`             // canonical JSON of the object set
	Writer   string `json:"writer,omitempty"` // random ID of the publication, to recognise a write whose answer was lost
}

// NewDocument encodes a set that was checked.
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

// Unmarshal reads the store's value. It doesn't look into the object set; Decode and Holder.Offer do.
func Unmarshal(value []byte) (Document, error) {
	var d Document
	if err := json.Unmarshal(value, &d); err != nil {
		return Document{}, errors.Wrap(err, "decode configuration")
	}
	return d, nil
}

// Decode checks the digest and returns the object set. It fails with *InvalidError.
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

// InvalidError tells that a document can't come into force.
type InvalidError struct {
	Revision int64
	Reason   string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("configuration revision %d is invalid: %s", e.Revision, e.Reason)
}

// DivergedError tells that two documents have the same revision and different content. The held one stays in force.
type DivergedError struct {
	Revision      int64
	Held, Offered string // digests
}

// Error implements error.
func (e *DivergedError) Error() string {
	return fmt.Sprintf("configuration revision %d has digest %s here and %s elsewhere", e.Revision, e.Held, e.Offered)
}
