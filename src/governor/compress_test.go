package governor

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/rosecroft/rosecroft/src/messages"
)

// A configuration of a thousand routes goes to sixty entries over slow links. Sent
// uncompressed, it would reach none of them before their polls time out, all would request it
// again, and the leader would lose its followers.
func TestLargeConfigurationIsSentCompressed(t *testing.T) {
	var text strings.Builder
	for n := range 1000 {
		fmt.Fprintf(&text, `{"name":"r-%d","host":"h%d.example","prefix":"/p%d/","timeout":12000,"target":800,"service":"s"},`, n*7919, n%13, n*104729)
	}
	d := &messages.Declaration{Version: 9, Document: []byte(text.String())}
	packed, err := compressConfiguration(d)
	if err != nil {
		t.Fatal(err)
	}
	if got, maxSize := len(packed.GetDocument()), len(d.GetDocument())/6; got > maxSize {
		t.Errorf("compressed size: got %d bytes, want at most %d", got, maxSize)
	}
	document, err := DecompressConfiguration(packed)
	if err != nil || !bytes.Equal(document, d.GetDocument()) || packed.GetVersion() != 9 {
		t.Errorf("decompressed: got %d bytes of version %d (%v), want the document", len(document), packed.GetVersion(), err)
	}
	if _, err := DecompressConfiguration(d); err == nil {
		t.Error("decompressing an uncompressed document: got no error")
	}
	if _, err := DecompressConfiguration(&messages.Declaration{Document: packed.GetDocument()[:50]}); err == nil {
		t.Error("decompressing a truncated document: got no error")
	}
}
