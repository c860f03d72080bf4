// Package embed assembles the coordination parts of a router for a program.
//
// A Router turns the commands of the core into calls on the interfaces of
// package jaywind, and their results into the core's events. Fields are set
// before Run, and nil or zero ones have defaults that work:
//
//	r := &embed.Router{Self: "vm1", Engine: &embed.EngineClient{}, Store: store}
//	group.Go(func() { err = r.Run(ctx) })
//	answer, err := r.Generate(ctx, embed.Ask{ID: "r1", Model: "heat", Prompt: "fins", Limit: 100})
//	for {
//		e, err := answer.Next(ctx)
//		if err != nil || e.Final != nil {
//			break
//		}
//		fmt.Print(e.Token.Text)
//	}
package embed
