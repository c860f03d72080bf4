package rendezvous

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"jaywind"
)

func fleet(n int, domains ...jaywind.Domain) []jaywind.Member {
	var out []jaywind.Member
	for i := range n {
		out = append(out, jaywind.Member{VM: jaywind.VM(fmt.Sprint("vm", i)), Domain: domains[i%len(domains)]})
	}
	return out
}

func TestPick(t *testing.T) {
	tests := map[string]struct {
		members []jaywind.Member
		n       int
		avoid   jaywind.Domain
		want    int
		domains int
	}{
		"nobody":                    {n: 2},
		"fewer members than wanted": {members: fleet(2, "a", "b"), n: 3, want: 2, domains: 2},
		"spread over domains":       {members: fleet(30, "a", "b", "c"), n: 3, want: 3, domains: 3},
		"own domain comes last":     {members: fleet(30, "a", "b", "c"), n: 2, avoid: "a", want: 2, domains: 2},
		"all members in own domain": {members: fleet(3, "a"), n: 2, avoid: "a", want: 2, domains: 1},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for i := range 50 {
				got := Pick(fmt.Sprint("key", i), c.members, c.n, c.avoid)
				is.Equal(len(got), c.want)
				domains := map[jaywind.Domain]bool{}
				for _, m := range got {
					domains[m.Domain] = true
					is.True(c.domains < 2 || m.Domain != c.avoid || c.avoid == "")
				}
				is.Equal(len(domains), c.domains)
			}
		})
	}
}

func TestLossMovesOnlyTheKeysOfTheLost(t *testing.T) {
	is := is.New(t)
	all := fleet(9, "a", "b", "c")
	for i := range 200 {
		key := fmt.Sprint("key", i)
		before := Pick(key, all, 1, "")[0]
		after := Pick(key, all[1:], 1, "")[0]
		is.True(before.VM == "vm0" || before.VM == after.VM)
	}
}
