// Package embed runs a router inside another program.
//
// A Router executes the commands of the core by calling the interfaces of
// package jaywind and feeds the results back to the core as events. Set its
// fields before the first method call; a nil or zero field selects a default:
//
//	r := &embed.Router{Self: "vm1", Engine: &embed.EngineClient{}, Store: store}
//	group.Go(func() { err = r.Run(ctx) })
//	answer, err := r.Generate(ctx, embed.GenerationRequest{ID: "r1", Model: "heat", Prompt: "fins", MaxTokens: 100})
//	for {
//		e, err := answer.Next(ctx)
//		if err != nil || e.Final != nil {
//			break
//		}
//		fmt.Print(e.Token.Text)
//	}
package embed
