// Package configuration holds the object set that is in force at a node and knows how fresh it is.
package configuration

// Document is a published object set as the store and the peers carry it.
type Document struct {
	Revision int64  `json:"revision"` // grows by one with each publication
	Digest   string `json:"digest"`   // SHA-256 of Data in hexadecimal digits
	Data     []byte `json:"data"`     // canonical JSON of the object set
}
