package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"jaywind"
)

// Pick returns up to n members for a key, best first, spread over failure domains. Members in
// the failure domain avoid are used only if no others are left; "" avoids none.
func Pick(key string, members []jaywind.Member, n int, avoid jaywind.Domain) []jaywind.Member {
	ranked := rank(key, members)
	used := map[jaywind.Domain]int{}
	if avoid != "" {
		used[avoid] = len(members)
	}
	var picked []jaywind.Member
	for len(picked) < n && len(ranked) > 0 {
		best := leastUsed(ranked, used)
		used[ranked[best].Domain]++
		picked = append(picked, ranked[best])
		ranked = slices.Delete(ranked, best, best+1)
	}
	return picked
}

// Score returns the weight of a member for a key; the member with the highest is preferred.
func Score(key string, vm jaywind.VM) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(key)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(string(vm))
	return h.Sum64()
}

// rank returns the members in descending order of score.
func rank(key string, members []jaywind.Member) []jaywind.Member {
	scores := make(map[jaywind.VM]uint64, len(members))
	for _, m := range members {
		scores[m.VM] = Score(key, m.VM)
	}
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b jaywind.Member) int {
		return cmp.Or(cmp.Compare(scores[b.VM], scores[a.VM]), cmp.Compare(a.VM, b.VM))
	})
	return ranked
}

// leastUsed returns the index of the best-ranked member among those of the least used domains.
func leastUsed(ranked []jaywind.Member, used map[jaywind.Domain]int) int {
	best := 0
	for i, m := range ranked {
		if used[m.Domain] < used[ranked[best].Domain] {
			best = i
		}
	}
	return best
}
