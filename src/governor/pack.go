package governor

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"

	"github.com/rosecroft/rosecroft/src/messages"
)

// mostUnpacked bounds what is unpacked, in bytes.
const mostUnpacked = 16 << 20

// pack returns a configuration as entries get it. One of a thousand routes is
// 300 KB; sent as it is to sixty entries with slow links it takes longer than a
// poll may, so that each asks again and the leader can do nothing else. Packed it
// is a tenth or less.
func pack(d *messages.Declaration) (*messages.Declaration, error) {
	packed, err := compress(d.GetDocument())
	if err != nil {
		return nil, fmt.Errorf("pack the configuration: %w", err)
	}
	return &messages.Declaration{
		Version:  d.GetVersion(),
		Document: packed,
	}, nil
}

// Unpack returns the document of a configuration that came with a poll's answer.
func Unpack(d *messages.Declaration) ([]byte, error) {
	document, err := decompress(d.GetDocument())
	if err != nil {
		return nil, fmt.Errorf("unpack the configuration: %w", err)
	}
	return document, nil
}

func compress(content []byte) ([]byte, error) {
	var packed bytes.Buffer
	writer, err := gzip.NewWriterLevel(&packed, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := writer.Write(content); err != nil {
		return nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	return packed.Bytes(), nil
}

func decompress(packed []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, err
	}
	content, err := io.ReadAll(io.LimitReader(reader, mostUnpacked+1))
	if err != nil {
		return nil, err
	}
	if len(content) > mostUnpacked {
		return nil, fmt.Errorf("it is larger than %d bytes; split the deployment", mostUnpacked)
	}
	return content, nil
}
