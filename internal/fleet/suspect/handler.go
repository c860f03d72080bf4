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

func (d *Detector) handleLosses(_ context.Context, req *connect.Request[lossReport]) (*connect.Response[lossResponse], error) {
	response := &lossResponse{Process: d.process}
	for _, w := range req.Msg.Losses {
		l := w.decode(time.Now())
		for _, g := range d.Router.Quarantined(l.Service, l.Parts()) {
			response.Quarantined = append(response.Quarantined, encodeGroup(g, false))
		}
		d.collect(l)
	}
	d.signal()
	return connect.NewResponse(response), nil
}

func (d *Detector) handleSound(_ context.Context, req *connect.Request[group]) (*connect.Response[soundParts], error) {
	g := req.Msg.decode()
	sound, survived := d.Router.SoundParts(g.Service, g.Parts)
	return connect.NewResponse(&soundParts{Parts: texts(sound), Any: survived}), nil
}

func (d *Detector) handleQuarantine(_ context.Context, req *connect.Request[group]) (*connect.Response[groupResponse], error) {
	g := req.Msg.decode()
	d.Learn(g, req.Msg.Lifted)
	return connect.NewResponse(&groupResponse{Lifted: d.Router.IsLifted(g)}), nil
}

// Learn adopts a quarantine, or its end, that another router has decided on.
func (d *Detector) Learn(g suspect.Group, lifted bool) {
	d.init()
	if !lifted {
		if d.Router.AddQuarantine(g) {
			d.signal() // this router may have to probe it
		}
		return
	}
	d.Router.LiftQuarantine(g)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.clear(g)
}
