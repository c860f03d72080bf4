package suspect_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/internal/core/suspect"
)

var start = time.Unix(1000, 0)

// lossAt returns the loss of a prompt at an engine.
func lossAt(engine, prompt string, shared ...jaywind.PromptPart) suspect.Loss {
	return suspect.Loss{Service: "pool", Engine: jaywind.EndpointRef{ID: jaywind.EndpointID(engine)}, Prompt: jaywind.PromptPart(prompt), Shared: shared}
}

func group(parts ...jaywind.PromptPart) suspect.Group {
	return suspect.Group{Service: "pool", Parts: parts}
}

// candidates returns the groups of a finder.
func candidates(f *suspect.Finder, at time.Time) []suspect.Group {
	found, _ := f.Candidates(at)
	return found
}

func TestCandidates(t *testing.T) {
	tests := map[string]struct {
		losses []suspect.Loss
		sound  []jaywind.PromptPart
		want   []suspect.Group
	}{
		"none": {},
		"one part at three engines": {
			losses: []suspect.Loss{lossAt("e1", "a", "x"), lossAt("e2", "b", "x"), lossAt("e3", "b", "x")},
			want:   []suspect.Group{group("x")},
		},
		"too few engines":  {losses: []suspect.Loss{lossAt("e1", "a", "x"), lossAt("e2", "b", "x"), lossAt("e2", "c", "x")}},
		"one prompt, lost": {losses: []suspect.Loss{lossAt("e1", "a", "x"), lossAt("e2", "a", "x"), lossAt("e3", "a", "x"), lossAt("e4", "a", "x"), lossAt("e5", "a", "x")}},
		"one prompt, lost at many engines": {
			losses: []suspect.Loss{lossAt("e1", "a", "x"), lossAt("e2", "a", "x"), lossAt("e3", "a", "x"), lossAt("e4", "a", "x"),
				lossAt("e5", "a", "x"), lossAt("e6", "a", "x"), lossAt("e7", "a", "x"), lossAt("e8", "a", "x")},
			want: []suspect.Group{group("x")},
		},
		"always together": {
			losses: []suspect.Loss{lossAt("e1", "a", "x", "y"), lossAt("e2", "b", "x", "y"), lossAt("e3", "b", "x", "y")},
			want:   []suspect.Group{group("x", "y")},
		},
		"together, one is sound": {
			losses: []suspect.Loss{lossAt("e1", "a", "x", "y"), lossAt("e2", "b", "x", "y"), lossAt("e3", "b", "x", "y")},
			sound:  []jaywind.PromptPart{"x"},
			want:   []suspect.Group{group("y")},
		},
		"all sound": {
			losses: []suspect.Loss{lossAt("e1", "a", "x"), lossAt("e2", "b", "x"), lossAt("e3", "b", "x")},
			sound:  []jaywind.PromptPart{"x"},
		},
		"prompts on the same engines": {
			losses: []suspect.Loss{
				lossAt("e1", "a", "x"), lossAt("e2", "b", "x"), lossAt("e3", "c", "x"), lossAt("e4", "d", "x"),
				lossAt("e1", "k", "v"), lossAt("e2", "l", "v"), lossAt("e3", "m", "v"), // lost with the runs under x
			},
			want: []suspect.Group{group("x")},
		},
		"two causes": {
			losses: []suspect.Loss{
				lossAt("e1", "a", "x"), lossAt("e2", "b", "x"), lossAt("e3", "c", "x"), lossAt("e4", "d", "x"),
				lossAt("e5", "k", "v"), lossAt("e6", "l", "v"), lossAt("e7", "m", "v"),
			},
			want: []suspect.Group{group("x"), group("v")},
		},
		"parts that change": {
			losses: []suspect.Loss{lossAt("e1", "a", "x", "u"), lossAt("e2", "b", "x", "v"), lossAt("e3", "c", "x", "w")},
			want:   []suspect.Group{group("x")},
		},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var f suspect.Finder
			for i, l := range c.losses {
				f.Add(l, start.Add(time.Duration(i)*time.Second))
			}
			f.Clear("pool", c.sound)
			is.Equal(candidates(&f, start.Add(time.Minute)), c.want)
			is.Equal(candidates(&f, start.Add(time.Hour)), nil) // losses are forgotten
		})
	}
}

// TestOtherServicesPart fails if a part is held against prompts of another service.
func TestOtherServicesPart(t *testing.T) {
	is := is.New(t)
	var f suspect.Finder
	for i, e := range []string{"e1", "e2", "e3"} {
		l := lossAt(e, fmt.Sprint(i), "x")
		l.Service = jaywind.ServiceName(fmt.Sprintf("pool%d", i%2))
		f.Add(l, start)
	}
	is.Equal(candidates(&f, start.Add(time.Minute)), nil)
	var q suspect.Quarantine
	is.True(q.Add(group("x"), start))
	_, held := q.Holds("other", []jaywind.PromptPart{"x"}, start)
	is.True(!held)
}

// TestDomainsThatCrash fails if prompts are suspected because whole failure domains crash again and again, each with the runs that are
// at their beginning.
func TestDomainsThatCrash(t *testing.T) {
	const engines, streams, crashes = 36, 60, 10
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		var f suspect.Finder
		var s suspect.Survivors
		for crash := range crashes {
			now := start.Add(time.Duration(crash) * 6 * time.Second)
			for i := range streams {
				shared := []jaywind.PromptPart{"all", jaywind.PromptPart(fmt.Sprint("t", random.IntN(5000)))}
				engine := random.IntN(engines)
				if engine%4 != crash%4 || random.IntN(2) == 0 { // another domain, or lost later
					s.Add("pool", shared, now)
					continue
				}
				f.Add(lossAt(fmt.Sprintf("e%d-%d", engine, crash), fmt.Sprintf("%d-%d", crash, i), shared...), now)
			}
			for _, g := range candidates(&f, now.Add(time.Second)) {
				if sound := s.Among("pool", g.Parts); len(sound) == 0 {
					t.Fatalf("seed %d: %v is suspected", seed, g)
				}
			}
		}
	}
}

func TestQuarantine(t *testing.T) {
	is := is.New(t)
	var q suspect.Quarantine
	held := func(at time.Duration, shared ...jaywind.PromptPart) bool {
		_, held := q.Holds("pool", shared, start.Add(at))
		return held
	}
	is.True(!held(0, "x", "y"))
	is.True(q.Add(group("x", "y"), start))
	is.True(!q.Add(group("x", "y"), start)) // no news
	is.True(held(time.Second, "y", "z", "x"))
	is.True(!held(time.Second, "x", "z")) // only a part of the group
	is.True(!held(suspect.QuarantineTime, "x", "y"))
	is.True(q.Add(group("v"), start))
	is.Equal(q.Matching("pool", []jaywind.PromptPart{"v"}, start), []suspect.Group{group("v")})
	is.True(q.Lift(group("v"), start.Add(time.Second)))
	is.True(!q.Lift(group("v"), start.Add(time.Second)))
	is.True(!held(time.Second, "v"))
	is.True(!q.Add(group("v"), start.Add(2*time.Second))) // late news of a quarantine that was lifted
	is.Equal(q.Count(), 1)
	is.True(q.Add(group("v"), start.Add(time.Hour)))
	is.True(!q.Lift(group("w"), start)) // was not in force
	is.True(!q.Add(group("w"), start))
}

// TestQuarantineIsBounded fails if prompts that are made up can fill the memory.
func TestQuarantineIsBounded(t *testing.T) {
	is := is.New(t)
	var q suspect.Quarantine
	var f suspect.Finder
	var s suspect.Survivors
	for i := range 20000 {
		p := jaywind.PromptPart(fmt.Sprint(i))
		q.Add(group(p), start)
		f.Add(lossAt("e", string(p), slices.Repeat([]jaywind.PromptPart{p}, 40)...), start)
		s.Add("pool", []jaywind.PromptPart{p}, start)
	}
	is.True(q.Count() <= 256)
	is.Equal(len(s.Among("pool", []jaywind.PromptPart{"0", "19999"})), 1) // the oldest is forgotten
}

// TestSettle fails if a part is a candidate while the losses of a crash are still being reported, before the cause may be among them.
func TestSettle(t *testing.T) {
	is := is.New(t)
	var f suspect.Finder
	for i, e := range []string{"e1", "e2", "e3"} {
		f.Add(lossAt(e, fmt.Sprint(i), "all"), start) // lost with the runs under x
	}
	found, again := f.Candidates(start.Add(50 * time.Millisecond))
	is.Equal(len(found), 0)
	is.True(again > 0)
	for i, e := range []string{"e1", "e2", "e3"} {
		f.Add(lossAt(e, fmt.Sprint("x", i), "all", "x"), start.Add(60*time.Millisecond))
	}
	is.Equal(candidates(&f, start.Add(time.Second)), []suspect.Group{group("all", "x")})
}

// TestProbe fails if more than one request of a quarantined group is let through, or one whose loss would not tell its cause.
func TestProbe(t *testing.T) {
	is := is.New(t)
	var q suspect.Quarantine
	q.Add(group("x"), start)
	q.Add(group("y"), start)
	q.AllowProbe(group("x"), start.Add(time.Second))
	x, both := []jaywind.PromptPart{"x"}, []jaywind.PromptPart{"x", "y"}
	is.True(!q.TakeProbe("pool", x, start))
	is.True(!q.TakeProbe("pool", both, start.Add(2*time.Second)))
	is.True(q.TakeProbe("pool", x, start.Add(2*time.Second)))
	is.True(!q.TakeProbe("pool", x, start.Add(3*time.Second)))
}

// TestMostSpecific fails if a part that victims have is taken for the cause while no run survives, or one that all prompts have.
func TestMostSpecific(t *testing.T) {
	victims := []suspect.Loss{lossAt("e1", "v1", "all", "m"), lossAt("e2", "v2", "all", "n"), lossAt("e3", "v3", "all", "m"), lossAt("e4", "v1", "all", "m")}
	tests := map[string]struct {
		losses []suspect.Loss
		want   string
	}{
		"one cause beside victims": {append([]suspect.Loss{lossAt("e1", "a", "all", "x"), lossAt("e2", "b", "all", "x"), lossAt("e3", "c", "all", "x"),
			lossAt("e4", "d", "all", "x"), lossAt("e5", "a", "all", "x")}, victims...), "pool/x"},
		"victims only":      {victims[:3], ""},
		"all have the part": {[]suspect.Loss{lossAt("e1", "a", "x"), lossAt("e2", "b", "x"), lossAt("e3", "c", "x")}, ""},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var f suspect.Finder
			for _, l := range c.losses {
				f.Add(l, start)
			}
			g, found := f.MostSpecific("pool", start.Add(time.Second))
			is.Equal(found, c.want != "")
			if found {
				is.Equal(g.Key(), c.want)
			}
		})
	}
}

// TestEndlessLosses fails if a part or a request is not found because losses go on at engines that have ended, as behind a relay that
// accepts connections for them.
func TestEndlessLosses(t *testing.T) {
	is := is.New(t)
	var f suspect.Finder
	for i := range 20 {
		at := start.Add(time.Duration(i) * 100 * time.Millisecond)
		l := lost("p", fmt.Sprint("e", min(i/3, 4)), 100*i, "x")
		l.Prompt = jaywind.PromptPart(fmt.Sprint(i % 2))
		f.Add(l, at)
	}
	now := start.Add(2 * time.Second)
	is.Equal(candidates(&f, now), []suspect.Group{group("x")})
	is.Equal(f.Requests(now), []suspect.Group{group("p")})
}

// TestLostProbe: a probe is lost with its engine for another reason than its prompt. The test fails if no further one may lift the quarantine
// within the users' recovery time, or if so many may that a group which does crash engines takes more than a few with it.
func TestLostProbe(t *testing.T) {
	const recovery = 12 * time.Second
	is := is.New(t)
	start := time.Unix(1000, 0)
	group := suspect.Group{Service: "pool", Parts: []jaywind.PromptPart{"x"}}
	var q suspect.Quarantine
	is.True(q.Add(group, start))
	q.AllowProbe(group, start.Add(time.Second))
	var early, all int
	for at := time.Duration(0); at < suspect.QuarantineTime; at += 100 * time.Millisecond {
		if q.TakeProbe("pool", group.Parts, start.Add(at)) {
			all++
			if at < recovery {
				early++
			}
		}
	}
	is.True(early >= 2)
	is.True(all <= 6)
	q.Lift(group, start.Add(time.Minute))
	is.True(!q.TakeProbe("pool", group.Parts, start.Add(2*time.Minute)))
}

// TestProbesOfSeveralRouters fails if a router that hands probes over and gets them back lets more of them through than one that keeps them.
func TestProbesOfSeveralRouters(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	group := suspect.Group{Service: "pool", Parts: []jaywind.PromptPart{"x"}}
	var q suspect.Quarantine
	is.True(q.Add(group, start))
	is.Equal(q.InForce(start), []suspect.Group{group})
	var all int
	for at := time.Duration(0); at < suspect.QuarantineTime; at += 100 * time.Millisecond {
		now := start.Add(at)
		q.AllowProbe(group, now.Add(time.Second)) // does not put off the next one
		if q.TakeProbe("pool", group.Parts, now) {
			all++
			q.EndProbes(group)
			is.True(!q.TakeProbe("pool", group.Parts, now.Add(time.Hour)))
		}
	}
	is.True(all >= 3)
	is.True(all <= 6)
	is.Equal(len(q.InForce(start.Add(suspect.QuarantineTime))), 0)
}
