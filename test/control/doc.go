// Package control tests the control group under faults. Concurrent operators edit and read while seeded faults are
// injected, and their history must be linearizable. The tests run against in-process instances and real processes.
package control
