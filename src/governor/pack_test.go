package governor

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/rosecroft/rosecroft/src/messages"
)

// A configuration of a thousand routes goes to sixty entries with slow links. Sent
// as it is, none would have it before its poll times out, all would ask for it
// again, and the leader would lose its followers over it.
func TestLargeConfigurationIsSentPacked(t *testing.T) {
	var text strings.Builder
	for n := range 1000 {
		fmt.Fprintf(&text, `{"name":"r-%d","host":"h%d.example","prefix":"/p%d/","timeout":12000,"target":800,"service":"s"},`, n*7919, n%13, n*104729)
	}
	d := &messages.Declaration{Version: 9, Document: []byte(text.String())}
	packed, err := pack(d)
	if err != nil {
		t.Fatal(err)
	}
	if got, most := len(packed.GetDocument()), len(d.GetDocument())/6; got > most {
		t.Errorf("packed size: got %d bytes, want at most %d", got, most)
	}
	document, err := Unpack(packed)
	if err != nil || !bytes.Equal(document, d.GetDocument()) || packed.GetVersion() != 9 {
		t.Errorf("unpacked: got %d bytes of version %d (%v), want the document", len(document), packed.GetVersion(), err)
	}
	if _, err := Unpack(d); err == nil {
		t.Error("unpacking what was not packed: got no error")
	}
	if _, err := Unpack(&messages.Declaration{Document: packed.GetDocument()[:50]}); err == nil {
		t.Error("unpacking what was cut short: got no error")
	}
}
