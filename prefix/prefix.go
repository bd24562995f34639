// Package prefix computes the hashes by which requests with a common prompt prefix are
// recognized. A prompt is a chain of block hashes; the ends of its messages and of its
// fixed-size pieces are the boundaries used for routing.
package prefix

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// BytesPerToken is the assumed number of bytes of text per token. For engines with
// another tokenizer the boundaries become less precise but remain correct: the hashes
// are computed over bytes, and the engine's own cache decides what is reused.
const BytesPerToken = 4

// MaxBoundaries bounds the boundaries of one prompt, and so the size of a query to an
// agent. If there are more, the first MaxLevels and the deepest are kept.
const MaxBoundaries = 10

// MaxLevels is how many of the outermost message ends are used as levels for placement.
const MaxLevels = 3

// MinLevelTokens is the minimum depth of a message end that counts as a level.
// Recomputing a shorter prefix costs less than restricting its requests to a few
// runners.
const MinLevelTokens = 1500

// Salt identifies the set of cache entries that a request may share: those of one
// customer, or of all that share entries, and of a model, version of weights and adapter.
type Salt struct {
	// Customer is empty where customers share entries. Excluded then identifies those that do
	// not; it is empty if there are none.
	Customer       string
	Excluded       string
	Model          string
	WeightsVersion string
	Adapter        string
}

// String returns the salt that is sent to the engine. It is a digest, so that no
// customer's name reaches an engine. The fields are quoted, so that different salts
// never yield the same text.
func (s Salt) String() string {
	text := fmt.Sprintf("%q %q %q %q", s.Customer, s.Model, s.WeightsVersion, s.Adapter)
	if s.Excluded != "" {
		text += fmt.Sprintf(" without %q", s.Excluded)
	}
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:16])
}

// Root returns the initial hash of a chain with the given salt.
func Root(salt string) uint64 {
	return xxhash.Sum64String(salt)
}

func Next(parent uint64, block []byte) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(parent)
	_, _ = d.Write(block)
	return d.Sum64()
}

// Boundary is a point of a prompt at which cached prefixes are looked up.
type Boundary struct {
	// Hash is the chain hash of the last complete block before the point.
	Hash uint64
	// Tokens counts the tokens up to that block's end.
	Tokens int
}

// Chain holds the boundaries of one prompt, shortest first.
type Chain struct {
	// Levels are the outermost message ends of at least MinLevelTokens, outermost
	// first, at most MaxLevels. If no message end is that deep, the only level is the
	// first boundary.
	Levels []Boundary
	// Boundaries are all points to look up, including the levels.
	Boundaries []Boundary
	// Tokens counts the tokens of the whole prompt.
	Tokens int
}

// Prompt is a rendered prompt and the byte offsets at which its messages end.
type Prompt struct {
	Text []byte
	Ends []int
}

// TokenCount returns the estimated number of tokens in n bytes, rounded up.
func TokenCount(n int) int {
	return (n + BytesPerToken - 1) / BytesPerToken
}

// NewChain returns the chain of a prompt under a salt. blockTokens is the size of a
// block and pieceTokens the distance of regular boundaries.
func NewChain(salt string, p Prompt, blockTokens, pieceTokens int) Chain {
	blockBytes := blockTokens * BytesPerToken
	blocks := len(p.Text) / blockBytes
	levelAt := endBlocks(p.Ends, blockBytes, blocks)
	pieceBlocks := max(1, pieceTokens/blockTokens)
	chain := Chain{Tokens: TokenCount(len(p.Text))}
	hash := Root(salt)
	for i := 1; i <= blocks; i++ {
		hash = Next(hash, p.Text[(i-1)*blockBytes:i*blockBytes])
		isLevel := levelAt[i]
		if !isLevel && i%pieceBlocks != 0 {
			continue
		}
		b := Boundary{Hash: hash, Tokens: i * blockTokens}
		chain.Boundaries = append(chain.Boundaries, b)
		if isLevel && b.Tokens >= MinLevelTokens && len(chain.Levels) < MaxLevels {
			chain.Levels = append(chain.Levels, b)
		}
	}
	if len(chain.Levels) == 0 {
		chain.Levels = chain.Boundaries[:min(1, len(chain.Boundaries))]
	}
	chain.Boundaries = trimBoundaries(chain.Boundaries)
	return chain
}

func endBlocks(ends []int, blockBytes, blocks int) map[int]bool {
	at := make(map[int]bool, len(ends)+1)
	for _, end := range ends {
		at[end/blockBytes] = true
	}
	at[blocks] = true
	return at
}

func trimBoundaries(all []Boundary) []Boundary {
	if len(all) <= MaxBoundaries {
		return all
	}
	kept := append([]Boundary{}, all[:MaxLevels]...)
	return append(kept, all[len(all)-(MaxBoundaries-MaxLevels):]...)
}

// RendezvousScore returns the rendezvous weight of a name, given by its hash, for
// another hash. The names with the highest scores are assigned to it.
func RendezvousScore(name uint64, hash uint64) uint64 {
	var buf [8]byte
	binary.LittleEndian.PutUint64(buf[:], name^hash)
	return xxhash.Sum64(buf[:])
}

// NameHash returns the hash of a name for RendezvousScore.
func NameHash(name string) uint64 {
	return xxhash.Sum64String(name)
}
