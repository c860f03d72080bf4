package suspect

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"jaywind/internal/core/suspect"
	"jaywind/internal/fleet/cbor"
)

// Handle adds the handlers of calls from other routers to a mux.
func (d *Detector) Handle(m *http.ServeMux) {
	d.init()
	m.Handle(lossPath, connect.NewUnaryHandler(lossPath, d.handleLosses, cbor.HandlerOptions()...))
	m.Handle(soundPath, connect.NewUnaryHandler(soundPath, d.handleSound, cbor.HandlerOptions()...))
	m.Handle(quarantinePath, connect.NewUnaryHandler(quarantinePath, d.handleQuarantine, cbor.HandlerOptions()...))
}

func (d *Detector) handleLosses(_ context.Context, req *connect.Request[lossReport]) (*connect.Response[lossAnswer], error) {
	answer := &lossAnswer{}
	for _, l := range req.Msg.Losses {
		l := l.decode()
		d.collect(l)
		for _, g := range d.quarantined(l) {
			answer.Quarantined = append(answer.Quarantined, encodeGroup(g, false))
		}
	}
	d.signal()
	return connect.NewResponse(answer), nil
}

// quarantined returns the groups that this router has quarantined and that the prompt of a loss had.
func (d *Detector) quarantined(l suspect.Loss) []suspect.Group {
	d.mu.Lock()
	defer d.mu.Unlock()
	var found []suspect.Group
	for _, k := range d.known {
		if k.group.In(l.Service, l.Shared) && time.Now().Before(k.until) {
			found = append(found, k.group)
		}
	}
	return found
}

func (d *Detector) handleSound(_ context.Context, req *connect.Request[soundQuestion]) (*connect.Response[soundParts], error) {
	g := req.Msg.Group.decode()
	sound, any := d.Router.SoundParts(g.Service, g.Parts, req.Msg.Within)
	return connect.NewResponse(&soundParts{Parts: texts(sound), Any: any}), nil
}

func (d *Detector) handleQuarantine(_ context.Context, req *connect.Request[group]) (*connect.Response[emptyResponse], error) {
	d.Learn(req.Msg.decode(), req.Msg.Lifted)
	return connect.NewResponse(&emptyResponse{}), nil
}

// Learn adopts a quarantine, or its end, that another router has decided on.
func (d *Detector) Learn(g suspect.Group, lifted bool) {
	d.init()
	if !lifted {
		d.Router.AddQuarantine(g)
		return
	}
	d.Router.LiftQuarantine(g)
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.known, g.Key())
	d.finder.Clear(g.Service, g.Parts)
}
