// Package emulator emulates the environment of the system: model engines, plain
// services, which have no model, and the operators' platform. Tests, the demo and
// measurements run the system against it.
//
// # Usage
//
// An engine runs in the calling process and is mounted on an HTTP server:
//
//	engine := emulator.NewEngine(ctx, emulator.EngineSettings{Name: "r1", Model: "notes"}, emulator.EngineDeps{})
//	defer engine.Close()
//	address, err := emulator.Serve(ctx, group, "127.0.0.1:0", engine.Handler())
//
// StartSite runs all endpoints of a fleet together with its platform:
//
//	site, err := emulator.StartSite(ctx, group, emulator.SiteSettings{Fleet: fleet})
//	site.Platform.SetDeclarations(source)
//
// The answer of an engine depends only on the model, the prompt and the token
// index, so checks can compare it byte for byte:
//
//	want := emulator.Answer("notes", prompt, 40)
//
// Faults can be set at run time:
//
//	engine.SetFaults(emulator.Faults{SlowFactor: 3})
//	plain.SetFaults(emulator.PlainFaults{ResetAfter: 1})
//	site.Platform.SetDown(true)
//
// Stats, Admissions and Executions return what the emulated services did.
// Checkers of request histories compare them with the responses that callers
// received.
package emulator
