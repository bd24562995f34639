package entry

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"acaciakeel/target"
)

// Guards against a call whose path reaches its service in another form than the caller sent.
func TestCallPathIsForwardedUnchanged(t *testing.T) {
	for _, path := range []string{
		"", "holds", "holds/7?a=b", "holds/a%2Fb", "holds/a%3Fb", "holds/a%23b", "holds/a%20b", "holds/%25zz", "holds/%2525", "holds;x=1,2", "holds/?", "holds?a=%23",
	} {
		got := ""
		service := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { got = r.RequestURI }))
		var call *serviceCall
		mux := http.NewServeMux()
		mux.HandleFunc("/services/{service}/{path...}", func(_ http.ResponseWriter, r *http.Request) {
			decoded, err := decodeCall(r.Context(), r)
			if err != nil {
				t.Errorf("%q: %v", path, err)
				return
			}
			call = decoded.(*serviceCall)
		})
		mux.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/services/cart/"+path, http.NoBody))
		if call == nil {
			t.Errorf("%q: not decoded", path)
			continue
		}
		_, err := target.NewService(service.URL).Do(t.Context(), target.Call{RequestID: "id", Method: http.MethodPost, Path: call.path})
		if err != nil || got != "/"+path {
			t.Errorf("%q reached the service as %q (%v)", "/"+path, got, err)
		}
		service.Close()
	}
}
