package governor

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"

	"github.com/rosecroft/rosecroft/src/messages"
)

// maxDecompressed bounds the size of decompressed content, in bytes.
const maxDecompressed = 16 << 20

// compressConfiguration returns a configuration in the form that is sent to entries. A
// configuration of a thousand routes is 300 KB. Sent uncompressed to sixty entries over slow
// links, it takes longer than a poll's timeout, so every entry polls again and the leader can
// do nothing else. Compressed it is a tenth of that size or less.
func compressConfiguration(d *messages.Declaration) (*messages.Declaration, error) {
	packed, err := compress(d.GetDocument())
	if err != nil {
		return nil, fmt.Errorf("compress the configuration: %w", err)
	}
	return &messages.Declaration{
		Version:  d.GetVersion(),
		Document: packed,
	}, nil
}

// DecompressConfiguration decompresses the document of a configuration received in a poll response.
func DecompressConfiguration(d *messages.Declaration) ([]byte, error) {
	document, err := decompress(d.GetDocument())
	if err != nil {
		return nil, fmt.Errorf("decompress the configuration: %w", err)
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
	content, err := io.ReadAll(io.LimitReader(reader, maxDecompressed+1))
	if err != nil {
		return nil, err
	}
	if len(content) > maxDecompressed {
		return nil, fmt.Errorf("content is larger than %d bytes; split the deployment", maxDecompressed)
	}
	return content, nil
}
