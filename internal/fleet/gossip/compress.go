package gossip

import (
	"fmt"

	"github.com/klauspost/compress/zstd"

	"github.com/mimosalock/mimosalock/internal/conf/bundle"
)

// The coders are shared: EncodeAll and DecodeAll are safe for concurrent use.
var (
	encoder, _ = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	decoder, _ = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(2*bundle.MaxValueBytes))
)

// Compress compresses a value for a peer. Shards compress well, since they contain
// many similar lines.
func Compress(raw []byte) []byte { return encoder.EncodeAll(raw, nil) }

func decompress(compressed []byte) ([]byte, error) {
	raw, err := decoder.DecodeAll(compressed, nil)
	if err != nil {
		return nil, fmt.Errorf("gossip: decompress value of %d bytes: %w", len(compressed), err)
	}
	return raw, nil
}
