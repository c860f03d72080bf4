// Package settings reads a router's settings from TOML and validates them.
//
// Unknown keys and invalid values are findings. All findings are returned at once,
// with their line and column:
//
//	s, findings := settings.Parse("vm1.toml", text)
//	for _, f := range findings {
//		fmt.Println(f) // vm1.toml:4:10: listen.caller: want a numeric address and a port like 10.0.0.1:8101, got "localhost:8101"
//	}
package settings
