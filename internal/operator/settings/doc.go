// Package settings reads a router's settings from TOML and checks them whole.
//
// An unknown key is a finding, and so is a value that can't be used; all are
// returned at once with their place:
//
//	s, findings := settings.Parse("vm1.toml", text)
//	for _, f := range findings {
//		fmt.Println(f) // vm1.toml:4:10: listen.caller: want an address with a numeric host
//	}
package settings
