package governor

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"

	"github.com/rosecroft/rosecroft/src/messages"
)

// mostUnpacked bounds a configuration that is unpacked, in bytes.
const mostUnpacked = 16 << 20

// pack returns a configuration as entries get it. One of a thousand routes is
// 300 KB; sent as it is to sixty entries with slow links it takes longer than a
// poll may, so that each asks again and the leader can do nothing else. Packed it
// is a tenth or less.
func pack(d *messages.Declaration) (*messages.Declaration, error) {
	var packed bytes.Buffer
	writer := gzip.NewWriter(&packed)
	if _, err := writer.Write(d.GetDocument()); err != nil {
		return nil, fmt.Errorf("pack the configuration: %w", err)
	}
	if err := writer.Close(); err != nil {
		return nil, fmt.Errorf("pack the configuration: %w", err)
	}
	return &messages.Declaration{
		Version:  d.GetVersion(),
		Document: packed.Bytes(),
	}, nil
}

// Unpack returns the document of a configuration that came with a poll's answer.
func Unpack(d *messages.Declaration) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(d.GetDocument()))
	if err != nil {
		return nil, fmt.Errorf("unpack the configuration: %w", err)
	}
	document, err := io.ReadAll(io.LimitReader(reader, mostUnpacked+1))
	if err != nil {
		return nil, fmt.Errorf("unpack the configuration: %w", err)
	}
	if len(document) > mostUnpacked {
		return nil, fmt.Errorf("unpack the configuration: it is larger than %d bytes; split the deployment", mostUnpacked)
	}
	return document, nil
}
