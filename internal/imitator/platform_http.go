package imitator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/trefoilseam/trefoilseam/internal/handler"
	"github.com/trefoilseam/trefoilseam/internal/storekeeper"
)

// Handler serves the platform over HTTP with the paths that storekeeper.Remote uses.
// A POST to /faults replaces the injected faults, a POST to /instances the instance
// list.
func (platform *Platform) Handler() http.Handler {
	inProcess := platform.InProcess()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /table/row", func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		row, err := inProcess.Table.Get(r.Context(), query.Get("table"), query.Get("key"))
		reply(w, row, err)
	})
	mux.HandleFunc("GET /table/rows", func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		limit, _ := strconv.Atoi(query.Get("limit"))
		rows, err := inProcess.Table.Scan(r.Context(), query.Get("table"), query.Get("prefix"), query.Get("after"), limit)
		reply(w, rows, err)
	})
	mux.HandleFunc("POST /table/commit", func(w http.ResponseWriter, r *http.Request) {
		var writes []storekeeper.Write
		if err := json.NewDecoder(r.Body).Decode(&writes); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		reply(w, struct{}{}, inProcess.Table.Commit(r.Context(), writes))
	})
	mux.HandleFunc("GET /table/era", func(w http.ResponseWriter, r *http.Request) {
		era, err := inProcess.Table.Era(r.Context())
		reply(w, era, err)
	})
	mux.HandleFunc("PUT /object", func(w http.ResponseWriter, r *http.Request) {
		reply(w, struct{}{}, putBody(r, inProcess.Objects))
	})
	mux.HandleFunc("GET /object", func(w http.ResponseWriter, r *http.Request) {
		body, err := inProcess.Objects.Get(r.Context(), r.URL.Query().Get("name"))
		if err != nil {
			reply(w, struct{}{}, err)
			return
		}
		_, _ = w.Write(body)
	})
	mux.HandleFunc("GET /objects", func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		limit, _ := strconv.Atoi(query.Get("limit"))
		names, err := inProcess.Objects.List(r.Context(), query.Get("prefix"), query.Get("after"), limit)
		reply(w, names, err)
	})
	mux.HandleFunc("GET /instances", func(w http.ResponseWriter, r *http.Request) {
		list, err := inProcess.Directory.List(r.Context())
		reply(w, list, err)
	})
	mux.HandleFunc("GET /counts", handler.Show(platform.Counts))
	mux.HandleFunc("POST /faults", handler.JSON(func(_ *http.Request, faults PlatformFaults) (struct{}, error) {
		platform.SetFaults(faults)
		return struct{}{}, nil
	}))
	mux.HandleFunc("POST /instances", handler.JSON(func(_ *http.Request, list []storekeeper.Instance) (struct{}, error) {
		platform.SetInstances(list)
		return struct{}{}, nil
	}))
	return mux
}

func putBody(r *http.Request, objects storekeeper.Objects) error {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return err
	}
	return objects.Put(context.WithoutCancel(r.Context()), r.URL.Query().Get("name"), body)
}

// reply writes a result or the status of an error. For any other error, such as an unknown
// outcome, it closes the connection without an answer.
func reply[Out any](w http.ResponseWriter, out Out, err error) {
	switch {
	case err == nil:
		_ = json.NewEncoder(w).Encode(out)
	case eris.Is(err, storekeeper.ErrAbsent):
		w.WriteHeader(http.StatusNotFound)
	case eris.Is(err, storekeeper.ErrConflict):
		w.WriteHeader(http.StatusConflict)
	case eris.Is(err, storekeeper.ErrEra):
		w.WriteHeader(http.StatusPreconditionFailed)
	case eris.Is(err, storekeeper.ErrBusy):
		w.WriteHeader(http.StatusTooManyRequests)
	default:
		panic(http.ErrAbortHandler)
	}
}
