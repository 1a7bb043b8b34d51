package cell

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"sync"

	"github.com/pkg/errors"
)

const (
	// compressedRecord is the first byte of a compressed record. Other records are JSON objects.
	compressedRecord = 0x01
	// minCompressedBytes is the size from which a record is compressed.
	minCompressedBytes = 200
	// maxRecordBytes bounds a record, so that a corrupt one can't fill the memory.
	maxRecordBytes = 4 << 20
)

// ErrRecordTooLarge is returned for a record that is larger than any job's.
var ErrRecordTooLarge = errors.New("record is too large")

var compressors = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic(err) // can't happen: the level is valid
	}
	return w
}}

// encodeRecord returns the stored form of a record: JSON, compressed if it is long. Every change of a job writes its
// whole progress again, so the size of the records largely determines what the scheduling node sends to the store.
func encodeRecord(record any) ([]byte, error) {
	plain, err := json.Marshal(record)
	if err != nil || len(plain) < minCompressedBytes {
		return plain, err
	}
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	b := bytes.NewBuffer(make([]byte, 0, len(plain)/2))
	b.WriteByte(compressedRecord)
	w.Reset(b)
	if _, err := w.Write(plain); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// decodeRecord decodes the stored form of a record.
func decodeRecord(b []byte, record any) error {
	if len(b) == 0 || b[0] != compressedRecord {
		return json.Unmarshal(b, record)
	}
	r := flate.NewReader(bytes.NewReader(b[1:]))
	plain, err := io.ReadAll(io.LimitReader(r, maxRecordBytes+1))
	if err != nil {
		return err
	}
	if len(plain) > maxRecordBytes {
		return ErrRecordTooLarge
	}
	return json.Unmarshal(plain, record)
}
