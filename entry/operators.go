package entry

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/google/uuid"

	"acaciakeel/operator"
	"acaciakeel/refusal"
	"acaciakeel/resource"
)

// resourceRequest is a decoded request of the resource API.
type resourceRequest struct {
	operator      Operator
	kind          resource.Kind
	name          string
	change        operator.Change
	dryRun        bool
	version       int64
	afterName     string
	afterRevision int64
	wait          time.Duration
}

func (e *Entry) addOperatorRoutes(mux *http.ServeMux) {
	itemPath := operator.PathResources + "/{kind}/{name}"
	mux.Handle("GET "+operator.PathResources+"/{kind}", e.operatorHandler("list", RoleReader, e.listEndpoint))
	mux.Handle("GET "+itemPath, e.operatorHandler("get", RoleReader, e.getEndpoint))
	mux.Handle("PUT "+itemPath, e.operatorHandler("put", RoleWriter, e.putEndpoint))
	mux.Handle("DELETE "+itemPath, e.operatorHandler("delete", RoleWriter, e.deleteEndpoint))
	mux.Handle("GET "+operator.PathWatch, e.operatorHandler("watch", RoleReader, e.watchEndpoint))
	mux.Handle("GET "+operator.PathStatus, e.operatorHandler("status", RoleReader, e.statusEndpoint))
}

// operatorHandler returns the HTTP handler of one operation that requires a role.
func (e *Entry) operatorHandler(operation string, role Role, ep endpoint.Endpoint) http.Handler {
	decode := func(ctx context.Context, r *http.Request) (any, error) {
		o, err := e.authorizeOperator(r, role)
		if err != nil {
			return nil, err
		}
		if err := e.awaitConfig(ctx); err != nil {
			return nil, err
		}
		return e.decodeResource(r, o)
	}
	return kithttp.NewServer(ep, decode, encodeJSON, e.serverOptions(operation)...)
}

func (e *Entry) authorizeOperator(r *http.Request, role Role) (Operator, error) {
	hash := HashKey(bearerKey(r))
	for _, o := range e.settings.Operators {
		if o.KeyHash != hash {
			continue
		}
		if role == RoleWriter && o.Role != RoleWriter {
			return o, refusal.New(refusal.Forbidden, "use the key of an operator with role writer", "operator %s may only read", o.Name)
		}
		return o, nil
	}
	return Operator{}, refusal.New(refusal.Unauthorized, "send an operator's key as 'Authorization: Bearer KEY'", "no operator has this key")
}

func (e *Entry) decodeResource(r *http.Request, o Operator) (any, error) {
	query := r.URL.Query()
	req := resourceRequest{
		operator:  o,
		kind:      resource.Kind(r.PathValue("kind")),
		name:      r.PathValue("name"),
		dryRun:    query.Get("dry_run") == "true",
		afterName: query.Get("after"),
	}
	if req.kind != "" && !slices.Contains(resource.Kinds(), req.kind) {
		return nil, refusal.New(refusal.BadRequest, "use model, service, preference, customer or target", "there is no kind %q", req.kind)
	}
	req.version, _ = strconv.ParseInt(query.Get("version"), 10, 64)
	req.afterRevision, _ = strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	req.wait = min(time.Duration(wait)*time.Millisecond, maxWatchWait)
	if r.Method == http.MethodPut {
		r.Body = http.MaxBytesReader(nil, r.Body, maxResourceBytes)
		if err := decodeBody(r, &req.change); err != nil {
			return nil, err
		}
	}
	return req, nil
}

// Limits of the resource API.
const (
	maxResourceBytes = 256 << 10
	maxWatchWait     = 30 * time.Second
	pageSize         = 200
)

func (e *Entry) getEndpoint(_ context.Context, request any) (any, error) {
	req := request.(resourceRequest)
	snapshot := e.table.Load().snapshot()
	r, ok := snapshot.Resources[resource.Key(req.kind, req.name)]
	if !ok {
		return nil, missingRefusal(req.kind, req.name, snapshot)
	}
	return r, nil
}

func (e *Entry) listEndpoint(_ context.Context, request any) (any, error) {
	req := request.(resourceRequest)
	snapshot := e.table.Load().snapshot()
	list := operator.List{Revision: snapshot.Revision, Items: []resource.Resource{}}
	for _, r := range snapshot.Resources {
		if r.Kind == req.kind && r.Name > req.afterName {
			list.Items = append(list.Items, r)
		}
	}
	slices.SortFunc(list.Items, func(a, b resource.Resource) int { return strings.Compare(a.Name, b.Name) })
	if len(list.Items) > pageSize {
		list.Items = list.Items[:pageSize]
		list.Next = list.Items[pageSize-1].Name
	}
	return list, nil
}

// watchEndpoint waits for changes after a revision. A watcher can continue from the
// revision of the last response at any entry and neither misses nor repeats a change.
func (e *Entry) watchEndpoint(ctx context.Context, request any) (any, error) {
	req := request.(resourceRequest)
	ctx, cancel := context.WithTimeout(ctx, req.wait)
	defer cancel()
	go func() {
		select {
		case <-e.stopped:
			cancel()
		case <-ctx.Done():
		}
	}()
	if err := e.follower.Await(ctx, req.afterRevision+1); err != nil && ctx.Err() == nil {
		return nil, err
	}
	snapshot := e.follower.State().Snapshot
	if snapshot.Revision <= req.afterRevision {
		return resource.Delta{Base: req.afterRevision, Revision: req.afterRevision}, nil
	}
	return snapshot.Since(req.afterRevision), nil
}

// putEndpoint validates a change and writes it by compare-and-swap.
func (e *Entry) putEndpoint(ctx context.Context, request any) (any, error) {
	req := request.(resourceRequest)
	snapshot := e.table.Load().snapshot()
	key := resource.Key(req.kind, req.name)
	r := resource.Resource{
		Kind:     req.kind,
		Name:     req.name,
		Version:  storedVersion(snapshot, key, req.change.Version),
		ChangeID: req.change.ChangeID,
		Changed:  snapshot.ChangeTime(key, time.Now().UTC()),
		Author:   req.operator.Name,
		Spec:     req.change.Spec,
	}
	if r.ChangeID == "" {
		r.ChangeID = uuid.NewString()
	}
	r.Spec = resource.KeepPrevious(r, snapshot)
	if err := resource.Validate(r, snapshot); err != nil {
		return nil, refusal.New(refusal.InvalidResource, "correct it and apply again", "%s %q: %v", r.Kind, r.Name, err)
	}
	if req.dryRun {
		return r, nil
	}
	version, err := e.writeResource(ctx, r)
	e.audit(req, "put", version, err)
	if err != nil {
		return nil, err
	}
	r.Version = version
	e.awaitApplied(ctx, version)
	return r, nil
}

func (e *Entry) deleteEndpoint(ctx context.Context, request any) (any, error) {
	req := request.(resourceRequest)
	snapshot := e.table.Load().snapshot()
	if err := resource.InUse(req.kind, req.name, snapshot); err != nil {
		return nil, refusal.New(refusal.InvalidResource, "delete or change those first", "%v", err)
	}
	key := resource.Key(req.kind, req.name)
	_, inForce := snapshot.Resources[key]
	_, withheld := snapshot.Withheld[key]
	if req.version == 0 && !inForce && !withheld {
		return nil, missingRefusal(req.kind, req.name, snapshot)
	}
	revision, err := e.deleteVersion(ctx, key, req.version, snapshot)
	e.audit(req, "delete", revision, err)
	if err != nil {
		return nil, err
	}
	e.awaitApplied(ctx, revision)
	return resource.Deletion{Key: key, Revision: revision}, nil
}

// maxApplyWait limits how long the response to an accepted change waits until this
// entry has applied it. The change stays accepted if the wait times out.
const maxApplyWait = time.Second

func (e *Entry) awaitApplied(ctx context.Context, revision int64) {
	ctx, cancel := context.WithTimeout(ctx, maxApplyWait)
	defer cancel()
	e.follower.Hint(revision)
	_ = e.follower.Await(ctx, revision)
}

// audit logs and counts a change requested by an operator, accepted or refused.
func (e *Entry) audit(req resourceRequest, change string, version int64, err error) {
	result := "accepted"
	if err != nil {
		result = string(refusal.From(err).Kind)
	}
	e.metrics.changes.WithLabelValues(result).Inc()
	e.log.WithFields(map[string]any{
		"event":     "audit",
		"operator":  req.operator.Name,
		"change":    change,
		"kind":      req.kind,
		"name":      req.name,
		"version":   version,
		"change_id": req.change.ChangeID,
		"result":    result,
	}).Info("change requested by an operator")
}
