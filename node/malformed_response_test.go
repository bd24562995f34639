package node

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
)

// headForm is a form of a response's header: its text with a status line and header lines.
type headForm func(status int, lines []string) string

// statusLineForm returns the form in which the status line of a success is replaced.
func statusLineForm(line string) headForm {
	return func(_ int, lines []string) string {
		return line + "\r\n" + strings.Join(lines, "\r\n") + "\r\n\r\n"
	}
}

// position is where a further line stands among the others.
type position int

const (
	first position = iota
	amid
	last
)

func (p position) insert(lines []string, line string) []string {
	return slices.Insert(slices.Clone(lines), []int{0, 1, len(lines)}[p], line)
}

func responseHead(status int, lines []string) string {
	return fmt.Sprintf("HTTP/1.1 %d Status\r\n%s\r\n\r\n", status, strings.Join(lines, "\r\n"))
}

func malformedStatusLines() map[string]string {
	out := map[string]string{
		"two blanks before the status": "HTTP/1.1  200 OK",
		"tab before the status":        "HTTP/1.1\t200 OK",
		"NUL in the phrase":            "HTTP/1.1 200 O\x00K",
		"CR in the phrase":             "HTTP/1.1 200 O\rK",
		"ESC in the phrase":            "HTTP/1.1 200 \x1b[1m",
		"DEL in the phrase":            "HTTP/1.1 200 O\x7fK",
		"blank first":                  " HTTP/1.1 200 OK",
		"no blank":                     "HTTP/1.1200 OK",
		"no status":                    "HTTP/1.1 OK",
		"empty":                        "",
	}
	for _, status := range []string{"000", "001", "020", "099", "101", "600", "999", "20", "2000", "20x", "+20", "-20", "2 0", "0200", "0x2"} {
		out["status "+status] = "HTTP/1.1 " + status + " OK"
	}
	for _, version := range []string{"HTTP/0.9", "HTTP/1.2", "HTTP/1.9", "HTTP/2.0", "HTTP/3.7", "HTTP/1.1x", "HTTP/1.10", "HTTP/01.1", "HTTP/1", "HTTP/1.", "http/1.1", "HTTPS/1.1", "HTTP 1.1"} {
		out["version "+version] = version + " 200 OK"
	}
	return out
}

func malformedLines() map[string]string {
	out := map[string]string{
		"no name":                     ": x",
		"no colon":                    "Further",
		"value with NUL":              "Further: a\x00b",
		"value with CR":               "Further: a\rb",
		"value with ESC":              "Further: \x1b[1m",
		"value with DEL":              "Further: a\x7fb",
		"folded line":                 "Further: a\r\n b",
		"folded line with tab":        "Further: a\r\n\tb",
		"folded empty line":           "Further: a\r\n \r\nMore: b",
		"blank first":                 " Further: a",
		"tab first":                   "\tFurther: a",
		"blank first of a length":     " Content-Length: 3",
		"blank after a length":        "Content-Length : 3",
		"tab after a length":          "Content-Length\t: 3",
		"blank after an encoding":     "Transfer-Encoding : chunked",
		"blank after a seal":          "Response-Seal : s",
		"blank after an ID":           "Request-Id : {id}",
		"blank after a type":          "Content-Type : text/event-stream",
		"further length":              "Content-Length: 3",
		"further length with a sign":  "Content-Length: +10",
		"further lengths on one line": "Content-Length: 3, 4",
		"encoding beside a length":    "Transfer-Encoding: chunked",
		"other encoding":              "Transfer-Encoding: gzip",
		"identity":                    "Transfer-Encoding: identity",
		"empty encoding":              "Transfer-Encoding:",
		"chunked twice":               "Transfer-Encoding: chunked, chunked",
		"chunked on two lines":        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
	}
	for what, c := range map[string]string{"blank": " ", "tab": "\t", "NUL": "\x00", "ESC": "\x1b", "DEL": "\x7f", "8 bits": "\xe9", "UTF-8": "é", "parenthesis": "(", "quote": "\"", "slash": "/", "CR": "\r"} {
		out["name with "+what] = "Fur" + c + "ther: a"
		out["name before "+what] = "Further" + c + ": a"
		out["name after "+what] = c + "Further: a"
	}
	return out
}

// malformedID numbers the requests of these tests, which run in parallel.
var malformedID atomic.Int64

// resumableEvery is how many forms are sent on three of the routes for one that is sent on all: a stream
// that may be resumed is sent again only once its first run is known to have ended.
const resumableEvery = 5

// testForms runs a subtest for each form of a response.
func testForms[T any](t *testing.T, forms map[string]T, test func(t *testing.T, w *testEnv, routes []rawRoute, form T)) {
	t.Helper()
	t.Parallel()
	w, routes := newRawEnv(t)
	for i, name := range slices.Sorted(maps.Keys(forms)) {
		used := routes
		if i%resumableEvery > 0 {
			used = withoutResumable(routes)
		}
		t.Run(name, func(t *testing.T) {
			w.t = t
			test(t, w, used, forms[name])
		})
	}
}

func withoutResumable(routes []rawRoute) []rawRoute {
	return slices.DeleteFunc(slices.Clone(routes), func(r rawRoute) bool { return r.path == "/draft/x" })
}

// testMalformed sends requests on all kinds of route to targets that run them and give an answer, and
// checks that no client gets it as one.
func testMalformed(t *testing.T, w *testEnv, routes []rawRoute, what string, answer rawAnswer, check func(route rawRoute, got rawResult) bool) {
	t.Helper()
	for _, route := range routes {
		if answer.slow && route.repeatable {
			continue // each byte takes its time
		}
		for _, target := range route.targets {
			target.setAnswer(answer, "")
		}
		got := rawResult{id: fmt.Sprintf("malformed-%d", malformedID.Add(1))}
		got.response = w.sendTo(w.node, "POST", route.path, "body", got.id, route.headers)
		got.runs = totalRuns(route.targets, got.id)
		for _, target := range route.targets {
			target.setAnswer(rawAnswer{}, "")
		}
		if got.runs == 0 || got.runs > 1 && !route.repeatable || !check(route, got) {
			t.Errorf("%s, %s: ran %d times, answered %d %q %v (%v)", route.path, what, got.runs, got.status, got.body, got.header, got.err)
		}
		// The target is not given up for it.
		id := got.id + "-after"
		after := w.sendTo(w.node, "POST", route.afterPath, "body", id, route.headers)
		if after.status != http.StatusOK || after.body != route.body(id) || totalRuns(route.targets, id) != 1 {
			t.Errorf("%s, %s: a request after it got %d %q (%v) after %d runs", route.path, what, after.status, after.body, after.err, totalRuns(route.targets, id))
		}
	}
}

// badGateway reports whether the client was told that the target failed.
func badGateway(_ rawRoute, got rawResult) bool {
	return got.err == nil && got.status == http.StatusBadGateway
}

// notComplete reports whether the client got no complete response, which a stream may have begun.
func notComplete(route rawRoute, got rawResult) bool {
	return badGateway(route, got) || route.headers != nil && got.err != nil && strings.HasPrefix(route.body(got.id), got.body)
}

// answerLines are the header lines of an answer whose body has 10 bytes.
func answerLines(status int) []string {
	lines := []string{ownID, "Content-Length: 10"}
	if status == http.StatusServiceUnavailable {
		return append(lines, notRun)
	}
	return append(lines, "Response-Seal: s", "Weight-Versions: 1")
}

const answerBody = "0123456789"

// Guards against a response whose status line is none in the protocol and that reaches its client as
// an answer.
func TestMalformedStatusLineIsNoAnswer(t *testing.T) {
	testForms(t, malformedStatusLines(), func(t *testing.T, w *testEnv, routes []rawRoute, line string) {
		head := statusLineForm(line)(0, answerLines(http.StatusOK))
		for _, slow := range []bool{false, true} {
			answer := kept(head + answerBody)
			answer.slow = slow
			testMalformed(t, w, routes, fmt.Sprintf("slow %v", slow), answer, badGateway)
		}
		interim := line + "\r\nFurther: a\r\n\r\n"
		if strings.Contains(line, "200") {
			interim = strings.Replace(line, "200", "103", 1) + "\r\nFurther: a\r\n\r\n"
		}
		testMalformed(t, w, routes, "in an interim response", kept(interim+responseHead(200, answerLines(200))+answerBody), badGateway)
	})
}

// Guards against a response with a header line that is none in the protocol, or that makes its length
// ambiguous, and that reaches its client as an answer or is believed as a refusal.
func TestMalformedHeaderLineIsNoAnswer(t *testing.T) {
	testForms(t, malformedLines(), func(t *testing.T, w *testEnv, routes []rawRoute, line string) {
		for _, status := range []int{200, 500, 503} {
			for _, at := range []position{first, amid, last} {
				used := routes
				if status != 200 || at != amid {
					used = withoutResumable(routes)
				}
				answer := kept(responseHead(status, at.insert(answerLines(status), line)) + answerBody)
				answer.slow = status == 200 && at == amid
				testMalformed(t, w, used, fmt.Sprintf("status %d, position %d", status, at), answer, badGateway)
			}
		}
	})
}

// Guards against a malformed header line in an interim response, or in a trailer, whose response
// reaches its client as a complete one.
func TestMalformedLineAroundResponseIsNoAnswer(t *testing.T) {
	testForms(t, malformedLines(), func(t *testing.T, w *testEnv, routes []rawRoute, line string) {
		framing := strings.HasPrefix(line, "Content-Length:") || strings.HasPrefix(line, "Transfer-Encoding:")
		for _, at := range []position{first, amid, last} {
			lines := at.insert([]string{"Content-Length: 0", "Other: b"}, line)
			interim := responseHead(103, lines)
			testMalformed(t, w, withoutResumable(routes), fmt.Sprintf("in an interim response, position %d", at), kept(interim+responseHead(200, answerLines(200))+answerBody), badGateway)
			if framing {
				continue // it has no meaning in a trailer
			}
			trailer := strings.Join(at.insert([]string{"Other: b", "More: c"}, line), "\r\n")
			used := routes
			if at != amid {
				used = withoutResumable(routes)
			}
			answer := rawAnswer{bytes: "{chunked}" + trailer + "\r\n\r\n"}
			testMalformed(t, w, used, fmt.Sprintf("in a trailer, position %d", at), answer, notComplete)
			if at == last {
				answer.slow = true
				testMalformed(t, w, used, "in a trailer, slow", answer, notComplete)
			}
		}
	})
}

// Guards against a body in chunks that does not tell where it ends for every reader.
func TestMalformedFramingIsNoAnswer(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n"
	testForms(t, map[string]rawAnswer{
		"chunks in HTTP 1.0":           closed(strings.Replace(head, "HTTP/1.1", "HTTP/1.0", 1) + "2\r\nok\r\n0\r\n\r\n"),
		"length and chunks":            kept(strings.Replace(head, "Transfer", "Content-Length: 12\r\nTransfer", 1) + "2\r\nok\r\n0\r\n\r\n"),
		"size with a sign":             kept(head + "+2\r\nok\r\n0\r\n\r\n"),
		"size with a prefix":           kept(head + "0x2\r\nok\r\n0\r\n\r\n"),
		"size after a blank":           kept(head + " 2\r\nok\r\n0\r\n\r\n"),
		"size with LF":                 kept(head + "2\nok\r\n0\r\n\r\n"),
		"size with CR":                 kept(head + "2\rx\r\nok\r\n0\r\n\r\n"),
		"extension with NUL":           kept(head + "2;a\x00b\r\nok\r\n0\r\n\r\n"),
		"no size":                      kept(head + "\r\nok\r\n0\r\n\r\n"),
		"size of 17 digits":            kept(head + "00000000000000002\r\nok\r\n0\r\n\r\n"),
		"chunk longer than its size":   kept(head + "2\r\nokay\r\n0\r\n\r\n"),
		"chunk that ends with LF":      kept(head + "2\r\nok\n0\r\n\r\n"),
		"last chunk that ends with LF": kept(head + "2\r\nok\r\n0\r\n\n"),
	}, func(t *testing.T, w *testEnv, routes []rawRoute, answer rawAnswer) {
		for _, slow := range []bool{false, true} {
			answer.slow = slow
			testMalformed(t, w, routes, fmt.Sprintf("slow %v", slow), answer, notComplete)
		}
	})
}

// Guards against a refusal of ordinary responses because of unusual header lines.
func TestUnusualHeadsAreServed(t *testing.T) {
	long := "Further: " + strings.Repeat("x", 40<<10)
	testForms(t, map[string]string{
		"no phrase":            "HTTP/1.1 200\r\n{lines}\r\n\r\n{body}",
		"empty phrase":         "HTTP/1.1 200 \r\n{lines}\r\n\r\n{body}",
		"phrase in UTF-8":      "HTTP/1.1 200 d'accord, ça va\t!\r\n{lines}\r\n\r\n{body}",
		"HTTP 1.0":             "HTTP/1.0 200 OK\r\n{lines}\r\n\r\n{body}",
		"lines that end in LF": "HTTP/1.1 200 OK\nRequest-Id: {id}\nContent-Length: {length}\nResponse-Seal: s\nWeight-Versions: 1\n\n{body}",
		"unusual names":        "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09aZ: x\r\n{lines}\r\n\r\n{body}",
		"empty values":         "HTTP/1.1 200 OK\r\nA:\r\nB: \t \r\n{lines}\r\n\r\n{body}",
		"blanks around values": "HTTP/1.1 200 OK\r\nA: \t x \t\r\n{lines}\r\n\r\n{body}",
		"values in UTF-8":      "HTTP/1.1 200 OK\r\nA: \"ça\" \xff\r\n{lines}\r\n\r\n{body}",
		"values with colons":   "HTTP/1.1 200 OK\r\nA: :b: c :\r\n{lines}\r\n\r\n{body}",
		"long line":            "HTTP/1.1 200 OK\r\n" + long + "\r\n{lines}\r\n\r\n{body}",
		"length twice":         "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n{lines}\r\n\r\n{body}",
		"length with zeros":    "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: s\r\nWeight-Versions: 1\r\ncontent-length: 00{length} \r\n\r\n{body}",
		"interim responses":    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: <a>\r\n\r\nHTTP/1.1 200 OK\r\n{lines}\r\n\r\n{body}",
		"chunks":               "{chunked}\r\n",
		"trailer":              "{chunked}Further: a\r\nMore:\r\n\r\n",
	}, func(t *testing.T, w *testEnv, routes []rawRoute, answer string) {
		for _, slow := range []bool{false, true} {
			testMalformed(t, w, routes, fmt.Sprintf("slow %v", slow), rawAnswer{bytes: answer, slow: slow && len(answer) < 1<<10}, func(route rawRoute, got rawResult) bool {
				return got.err == nil && got.status == http.StatusOK && got.body == route.body(got.id)
			})
		}
	})
}
