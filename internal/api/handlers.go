package api

import (
	"context"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// handleReady answers health checks: a node is ready while its cluster state is at most tuning.ReadyMaxStateAge old.
func (s *Server) handleReady(w http.ResponseWriter, _ *http.Request) {
	completeAsOf := s.barrier.CompleteAsOf()
	if completeAsOf.IsZero() || time.Since(completeAsOf) > tuning.ReadyMaxStateAge {
		writeError(w, errStateStale)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (s *Server) handleHeartbeat(w http.ResponseWriter, r *http.Request) {
	heartbeat, err := decodeHeartbeat(r)
	if err != nil || heartbeat.Machine == "" || heartbeat.Session == 0 {
		s.logger.Info("invalid heartbeat", "err", err)
		writeMessage(w, http.StatusBadRequest, "unreadable report")
		return
	}
	result := s.agents.HandleHeartbeat(heartbeat)
	status, body := result.HTTPResponse()
	wire.WriteResponse(w, status, body)
}

func decodeHeartbeat(r *http.Request) (*wire.Heartbeat, error) {
	body, err := wire.ReadBody(r.Body, tuning.HTTPBodyMaxBytes)
	if err != nil {
		return nil, err
	}
	var heartbeat wire.Heartbeat
	if err := wire.Decode(body, &heartbeat); err != nil {
		return nil, err
	}
	return &heartbeat, nil
}

func (s *Server) handleSubmit(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), tuning.SubmitTimeout)
	defer cancel()
	request, err := s.decodeSubmission(r)
	if err != nil {
		s.logger.Debug("malformed submission", "err", err)
		writeError(w, err)
		return
	}
	accepted, err := s.submitJob(ctx, request)
	if err != nil {
		writeError(w, err)
		return
	}
	status := http.StatusOK
	if accepted.isNew {
		status = http.StatusCreated
	}
	wire.WriteResponse(w, status, wire.JobResponse{ID: request.spec.ID, State: accepted.state})
}

// decodeSubmission reads a submission. The requested number of retries is decoded only if some class limits retries;
// otherwise the field is ignored, even if malformed.
func (s *Server) decodeSubmission(r *http.Request) (submission, error) {
	body, err := wire.ReadBody(r.Body, tuning.RequestBodyMaxBytes)
	if err != nil {
		return submission{}, &invalidRequestError{Err: err}
	}
	var request submission
	if request.spec, err = wire.DecodeSubmission(body); err != nil {
		return submission{}, &invalidRequestError{Err: err}
	}
	if s.retryPolicies.Enabled() {
		if request.requestedRetries, err = wire.DecodeMaxRetries(body); err != nil {
			return submission{}, &invalidRequestError{Err: err}
		}
	}
	return request, nil
}

func (s *Server) handleStatus(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), tuning.StatusTimeout)
	defer cancel()
	status, err := s.jobStatus(ctx, chi.URLParam(r, "id"))
	if err != nil {
		writeError(w, err)
		return
	}
	wire.WriteResponse(w, http.StatusOK, status)
}

func (s *Server) handleCancel(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), tuning.SubmitTimeout)
	defer cancel()
	id := chi.URLParam(r, "id")
	state, err := s.cancelJob(ctx, id)
	if err != nil {
		writeError(w, err)
		return
	}
	wire.WriteResponse(w, http.StatusOK, wire.JobResponse{ID: id, State: state})
}
