// Package schedule assigns the runs of all routers to the engines of a service.
//
// One router, the owner of the service, holds a Scheduler. Routers report their
// runs to it and ask it for an engine before each new run. A request that finds
// no room waits in the queue of the scheduler, or is refused at once if it would
// wait for too long:
//
//	s := &schedule.Scheduler{Capacity: schedule.Capacity{MemoryTokens: 55000}}
//	s.SetEndpoints(endpoints)
//	s.Report("vm1", report, now)
//	d := s.Ask(request, now)
//	for _, a := range s.Dispatch(now) { // requests whose turn has come
//	}
//
// The state of a Scheduler is the union of the last reports and of the grants
// that no report has confirmed yet, so a new owner has it one report interval
// later. A Scheduler does no I/O and takes the time as an argument. It is not
// safe for concurrent use.
package schedule
