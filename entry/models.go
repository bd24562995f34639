package entry

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
)

func decodeNothing(context.Context, *http.Request) (any, error) {
	return nil, nil
}

func encodeJSON(_ context.Context, w http.ResponseWriter, response any) error {
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(response)
}

// modelsEndpoint lists the models and their adapters.
func (e *Entry) modelsEndpoint(context.Context, any) (any, error) {
	snapshot := e.table.Load().snapshot()
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, name := range slices.Sorted(maps.Keys(snapshot.Models)) {
		list.Data = append(list.Data, modelItem{ID: name, Object: "model", OwnedBy: "acaciakeel"})
		for _, adapter := range snapshot.Models[name].Adapters {
			list.Data = append(list.Data, modelItem{ID: name + adapterSeparator + adapter, Object: "model", OwnedBy: "acaciakeel"})
		}
	}
	return list, nil
}
