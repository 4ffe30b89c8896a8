package relay

import (
	"net/http"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/event"
	"github.com/mulberrytray/mulberrytray/pkg/intake"
)

// readRequest reads the beginning of the body, at most until the request's deadline.
func (in *Ingress) readRequest(w http.ResponseWriter, r *http.Request, rs *requestState, limit int64) error {
	if r.Body == http.NoBody {
		return nil
	}
	in.setReadDeadline(w, r, rs.deadline)
	body := rs.place.receive(http.NewResponseController(w), r.Body, in.Bodies.NewBuffer(), rs.deadline)
	if rs.hasLongHeader {
		body.tracked.Hold(intake.Header)
	}
	err := readBody(&rs.call, body, r.ContentLength, limit)
	if err == nil {
		// The server continues to read in order to detect that the caller disconnects.
		in.setReadDeadline(w, r, time.Time{})
	}
	return err
}

// limitBodyDrain bounds the time for which the server reads the rest of a body after
// the response. Otherwise a caller that stops sending would occupy its connection.
func (in *Ingress) limitBodyDrain(w http.ResponseWriter, r *http.Request) {
	if r.Body == http.NoBody {
		return
	}
	end := time.Now().Add(bodyDrainTimeout)
	if at := in.stopAt.Load(); at != nil && at.Before(end) {
		end = *at
	}
	in.setReadDeadline(w, r, end)
}

// closeBody ends the reading of a body that may still be forwarded. Otherwise the server
// would wait without limit for its rest before it sends the response.
func (in *Ingress) closeBody(w http.ResponseWriter, r *http.Request) {
	in.setReadDeadline(w, r, time.Now().Add(bodyDrainTimeout))
	// After an error the server closes the connection once it has sent the response.
	_ = r.Body.Close()
	in.setReadDeadline(w, r, time.Time{})
}

func (in *Ingress) setReadDeadline(w http.ResponseWriter, r *http.Request, at time.Time) {
	if err := http.NewResponseController(w).SetReadDeadline(at); err != nil && r.Context().Err() == nil {
		in.Events.Emit(event.AnswerNotDelivered, event.Fields{"id": r.Header.Get(in.Names.RequestID), "error": err.Error()})
	}
}
