package engine

import "github.com/cespare/xxhash/v2"

// PrefixBlockBytes is the number of prompt bytes in one cache block.
const PrefixBlockBytes = 256

// HashPrefixes returns the hashes of the prefixes of a prompt that end at a block boundary,
// shortest first. Engines identify their cache blocks by the same hashes.
func HashPrefixes(model, prompt string) []uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(model)
	_, _ = digest.WriteString("\x00")
	hashes := make([]uint64, 0, len(prompt)/PrefixBlockBytes)
	for len(prompt) >= PrefixBlockBytes {
		_, _ = digest.WriteString(prompt[:PrefixBlockBytes])
		hashes = append(hashes, digest.Sum64())
		prompt = prompt[PrefixBlockBytes:]
	}
	return hashes
}
