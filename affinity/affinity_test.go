package affinity_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"

	"github.com/galenaslip/galenaslip/affinity"
	"github.com/galenaslip/galenaslip/testseed"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) { testseed.Main(m) }

func hash(server string) uint64 { return xxhash.Sum64String(server) }

func names(n int) []string {
	servers := make([]string, n)
	for i := range servers {
		servers[i] = fmt.Sprint("server-", i)
	}
	return servers
}

// Guards against a wrong choice of the best few: compared with a sort of all servers, in any order in
// which an entry knows them.
func TestPreferredAsTheNaiveVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := rapid.Permutation(names(rapid.IntRange(0, 30).Draw(t, "servers"))).Draw(t, "order")
		part, n := rapid.String().Draw(t, "part"), rapid.IntRange(1, 5).Draw(t, "n")
		want := slices.Clone(servers)
		slices.SortFunc(want, func(a, b string) int {
			if affinity.Rank(part, hash(a)) > affinity.Rank(part, hash(b)) {
				return -1
			}
			return 1
		})
		want = want[:min(n, len(want))]
		if got := affinity.Preferred(part, servers, n, hash); !slices.Equal(got, want) {
			t.Errorf("got %v, want %v", got, want)
		}
	})
}

// Guards against cached parts that are lost with another server: on ev-santiago-grown scale-1, 41 of 112
// servers end within five seconds and come back, and long prompts share 619 parts.
func TestLossOfServersMovesOnlyTheirParts(t *testing.T) {
	const servers, lost, parts = 112, 41, 619
	all := names(servers)
	left := all[lost:]
	load := map[string]int{}
	for i := range parts {
		part := fmt.Sprint("part-", i)
		before := affinity.Preferred(part, all, 2, hash)
		after := affinity.Preferred(part, left, 2, hash)
		if slices.Contains(left, before[0]) && after[0] != before[0] {
			t.Errorf("%s: got %s, want %s, which is still there", part, after[0], before[0])
		}
		if !slices.Contains(left, before[0]) && slices.Contains(left, before[1]) && after[0] != before[1] {
			t.Errorf("%s: got %s, want the second one, %s", part, after[0], before[1])
		}
		load[after[0]]++
	}
	const most = 4 * parts / (servers - lost)
	for server, n := range load {
		if n > most {
			t.Errorf("parts of %s: got %d, want at most %d", server, n, most)
		}
	}
}
