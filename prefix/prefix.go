// Package prefix computes the hashes by which prompts that start alike are
// known to be alike: one chain of block hashes for each prompt, of which the
// ends of messages and pieces are the boundaries that routing looks at.
package prefix

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// BytesPerToken is how many bytes of text make one token. Engines whose
// tokenizer differs make boundaries less exact, never wrong: the hashes are
// of bytes, and reuse is decided by the engine's own cache.
const BytesPerToken = 4

// MaxBoundaries bounds the boundaries of one prompt, and so the bytes of a
// question to an agent. Where there are more, the deepest are kept, and the
// first MaxLevels.
const MaxBoundaries = 10

// MaxLevels is how many of the outermost message ends placement nests by.
const MaxLevels = 3

// MinLevelTokens is how deep a message end must be to count as a level: a
// shorter prefix costs less to compute anew than runners to be tied to it.
const MinLevelTokens = 1500

// Salt identifies whose cache entries a request may use, and of which weights.
type Salt struct {
	Customer       string
	Model          string
	WeightsVersion string
	Adapter        string
}

// String returns the salt that the engine gets: a digest, so that no
// customer's name reaches an engine, with each field's length in it, so that
// two different salts never read alike.
func (s Salt) String() string {
	text := fmt.Sprintf("%q %q %q %q", s.Customer, s.Model, s.WeightsVersion, s.Adapter)
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:16])
}

// Root returns the hash that a chain under the salt starts from.
func Root(salt string) uint64 {
	return xxhash.Sum64String(salt)
}

// Next returns the hash of the block that follows parent.
func Next(parent uint64, block []byte) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(parent)
	_, _ = d.Write(block)
	return d.Sum64()
}

// Boundary is one point of a prompt at which reuse is asked for.
type Boundary struct {
	// Hash is the chain's hash at the last whole block before the point.
	Hash uint64
	// Tokens counts the tokens up to there.
	Tokens int
}

// Chain is the boundaries of one prompt, shortest first.
type Chain struct {
	// Levels are the outermost message ends of MinLevelTokens and more,
	// outermost first, MaxLevels at most. A shorter prompt has one: its first end.
	Levels []Boundary
	// Boundaries are all the points asked for, the levels among them.
	Boundaries []Boundary
	// Tokens counts the whole prompt.
	Tokens int
}

// Prompt is a rendered prompt and the byte offsets at which its messages end.
type Prompt struct {
	Text []byte
	Ends []int
}

// TokenCount returns how many tokens n bytes make.
func TokenCount(n int) int {
	return (n + BytesPerToken - 1) / BytesPerToken
}

// NewChain returns the chain of a prompt under a salt, for blocks and pieces
// of the given sizes in tokens.
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

// RendezvousScore ranks a name, by its hash, under another hash for rendezvous: the
// highest scores hold it.
func RendezvousScore(name uint64, hash uint64) uint64 {
	var buf [8]byte
	binary.LittleEndian.PutUint64(buf[:], name^hash)
	return xxhash.Sum64(buf[:])
}

// NameHash returns the hash of a name for Score.
func NameHash(name string) uint64 {
	return xxhash.Sum64String(name)
}
