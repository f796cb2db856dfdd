package engine

import "github.com/cespare/xxhash/v2"

// PrefixBlockBytes is the number of prompt bytes that one cache block covers.
const PrefixBlockBytes = 256

// HashPrefixes returns the hashes of the whole-block prefixes of a prompt, shortest
// first. Engines name their cache blocks by the same hashes.
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
