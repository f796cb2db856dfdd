package engine

import "github.com/cespare/xxhash/v2"

// PrefixBlock is the number of prompt bytes in one cache block.
const PrefixBlock = 256

// Prefixes returns the hashes of the prefixes of a prompt that end at a block boundary,
// shortest first. Engines identify their cache blocks by the same hashes.
func Prefixes(model, prompt string) []uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(model)
	_, _ = digest.WriteString("\x00")
	hashes := make([]uint64, 0, len(prompt)/PrefixBlock)
	for len(prompt) >= PrefixBlock {
		_, _ = digest.WriteString(prompt[:PrefixBlock])
		hashes = append(hashes, digest.Sum64())
		prompt = prompt[PrefixBlock:]
	}
	return hashes
}
