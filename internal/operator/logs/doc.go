// Package logs writes structured lines that never hold up the work they tell of.
//
// Lines wait in a bounded queue for their writer; what finds no room is counted
// and told with the next line that does. Lines of one message are sampled past
// a rate, so that load does not raise the volume:
//
//	l, err := logs.New("info", os.Stdout)
//	defer l.Close()
//	l.Logger.Info("router: started")
package logs
