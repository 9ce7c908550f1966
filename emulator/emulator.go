// Package emulator stands in for what surrounds the system: model engines,
// plain services and the platform. Tests, the demo and measurements run the
// system against it.
//
// # Usage
//
// An engine runs in the calling process and is mounted on an HTTP server:
//
//	engine := emulator.NewEngine(ctx, emulator.EngineSettings{Name: "r1", Model: "notes"}, emulator.EngineDeps{})
//	defer engine.Close()
//	address, err := emulator.Serve(ctx, group, "127.0.0.1:0", engine.Handler())
//
// A whole fleet with its platform runs by one call:
//
//	site, err := emulator.StartSite(ctx, group, emulator.SiteSettings{Fleet: fleet})
//	site.Platform.SetDeclarations(source)
//
// What an engine answers depends on the model, the prompt and the token's
// index alone, so that a check compares byte for byte:
//
//	want := emulator.Answer("notes", prompt, 40)
//
// Faults are set while the stand-ins run:
//
//	engine.SetFaults(emulator.Faults{SlowFactor: 3})
//	plain.SetFaults(emulator.PlainFaults{ResetAfter: 1})
//	site.Platform.SetDown(true)
//
// Stats, Admissions and Executions tell what the stand-ins did; checks of
// histories compare it with what callers were told.
package emulator
