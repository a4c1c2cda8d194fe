package hop

import (
	"math"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/jaypitch/jaypitch"
)

// Names of the pairs in headerNotice.
const (
	// noticeEra is the era of the store that the revision in headerAttempt or headerResponse belongs to.
	noticeEra = "era"
	// noticeLimit is the rate limit that the backend server names, in requests per second.
	noticeLimit = "limit"
	// noticeAge is, in a request, the time since the sender heard of the limit, in microseconds.
	noticeAge = "age"
	// noticeWait is, in a response, the time until the limit has room for a further request, in microseconds.
	noticeWait = "wait"
	// noticeLeaving is, in a response, 1 if the server stated that it is leaving.
	noticeLeaving = "leaving"
	// noticeDownload is, in a request, 1 if the response is probably large.
	noticeDownload = "download"
	// noticeLinkRate is, in a response, the rate in bytes per second at which large responses leave the receiver's host, and noticeLinkWait
	// the time until those that were accepted have left, in microseconds.
	noticeLinkRate = "linkrate"
	noticeLinkWait = "linkwait"
	// noticeRefusing is, in a response, 1 if the server refused all of the rule's latest requests without executing them.
	noticeRefusing = "refusing"
	// noticeNoTrial is, in a request, 1 if a server has refused the request already.
	noticeNoTrial = "no_trial"
	// noticeAnswering is, in a response, the escaped ID of the server that answers at an address which several entries of the store name.
	noticeAnswering = "answering"
	// noticeCode is, in a response, a result code that older sidecars don't know. They get the code in headerResponse.
	noticeCode = "code"
)

// olderCodes are the codes that older sidecars get instead of a code that they don't know.
var olderCodes = map[jaypitch.Code]jaypitch.Code{jaypitch.CodeServerLimit: jaypitch.CodeOverloaded, jaypitch.CodeEvacuated: jaypitch.CodeStopping,
	jaypitch.CodeLinkFull: jaypitch.CodeOverloaded}

// formatRequestNotice returns the value of headerNotice for a request, or an empty string if there is nothing to tell.
func formatRequestNotice(f *jaypitch.MeshRequest, now time.Time) string {
	pairs := eraPair(f.Era)
	if f.Download {
		pairs = append(pairs, pair(noticeDownload, formatBool(true)))
	}
	if !f.LimitHeardAt.IsZero() {
		pairs = append(pairs, pair(noticeLimit, formatRate(f.RateLimit)), pair(noticeAge, formatInt(now.Sub(f.LimitHeardAt).Microseconds())))
	}
	if f.NoTrial {
		pairs = append(pairs, pair(noticeNoTrial, formatBool(true)))
	}
	return strings.Join(pairs, separator)
}

// parseRequestNotice sets the fields of a request from the value of headerNotice.
func parseRequestNotice(text string, f *jaypitch.MeshRequest, now time.Time) {
	p := parsePairs(text)
	f.Era = parseEra(p[noticeEra])
	f.Download = p[noticeDownload] == formatBool(true)
	f.NoTrial = p[noticeNoTrial] == formatBool(true)
	limit, ok := parseRate(p[noticeLimit])
	age, err := strconv.ParseInt(p[noticeAge], 10, 64)
	if ok && err == nil && age >= 0 {
		f.RateLimit, f.LimitHeardAt = limit, now.Add(-microseconds(age))
	}
}

// formatResponseNotice returns the value of headerNotice for a response, or an empty string if there is nothing to tell.
func formatResponseNotice(r *jaypitch.MeshResponse) string {
	pairs := eraPair(r.LoadReport.Era)
	if r.LoadReport.Limited {
		pairs = append(pairs, pair(noticeLimit, formatRate(r.LoadReport.RateLimit)), pair(noticeWait, formatInt(r.LoadReport.LimitWait.Microseconds())))
	}
	if r.LoadReport.LinkRate > 0 {
		pairs = append(pairs, pair(noticeLinkRate, formatInt(int64(r.LoadReport.LinkRate))), pair(noticeLinkWait, formatInt(r.LoadReport.LinkWait.Microseconds())))
	}
	if r.LoadReport.Leaving {
		pairs = append(pairs, pair(noticeLeaving, formatBool(true)))
	}
	if r.LoadReport.Refusing {
		pairs = append(pairs, pair(noticeRefusing, formatBool(true)))
	}
	if r.LoadReport.Answering != "" {
		pairs = append(pairs, pair(noticeAnswering, url.QueryEscape(r.LoadReport.Answering)))
	}
	if olderCode(r.Code) != r.Code {
		pairs = append(pairs, pair(noticeCode, formatInt(int64(r.Code))))
	}
	return strings.Join(pairs, separator)
}

// parseResponseNotice sets the fields of a response from the value of headerNotice.
func parseResponseNotice(text string, r *jaypitch.MeshResponse) {
	p := parsePairs(text)
	r.LoadReport.Era = parseEra(p[noticeEra])
	limit, ok := parseRate(p[noticeLimit])
	wait, err := strconv.ParseInt(p[noticeWait], 10, 64)
	if ok && err == nil && wait >= 0 {
		r.LoadReport.Limited, r.LoadReport.RateLimit, r.LoadReport.LimitWait = true, limit, microseconds(wait)
	}
	linkRate, ok := parseRate(p[noticeLinkRate])
	linkWait, err := strconv.ParseInt(p[noticeLinkWait], 10, 64)
	if ok && err == nil && linkWait >= 0 {
		r.LoadReport.LinkRate, r.LoadReport.LinkWait = linkRate, microseconds(linkWait)
	}
	r.LoadReport.Leaving = p[noticeLeaving] == formatBool(true)
	r.LoadReport.Refusing = p[noticeRefusing] == formatBool(true)
	if id, err := url.QueryUnescape(p[noticeAnswering]); err == nil {
		r.LoadReport.Answering = id
	}
	if code, err := strconv.Atoi(p[noticeCode]); err == nil && olderCodes[jaypitch.Code(code)] == r.Code {
		r.Code = jaypitch.Code(code)
	}
}

// olderCode returns the code that older sidecars know for a code.
func olderCode(c jaypitch.Code) jaypitch.Code {
	if older, ok := olderCodes[c]; ok {
		return older
	}
	return c
}

// eraPair returns the pair of an era, or nothing if it is unknown.
func eraPair(e jaypitch.Era) []string {
	if !e.Known {
		return nil
	}
	return []string{pair(noticeEra, formatInt(e.Number))}
}

func parseEra(text string) jaypitch.Era {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return jaypitch.Era{}
	}
	return jaypitch.Era{Number: n, Known: true}
}

func pair(name, value string) string {
	return name + "=" + value
}

func parsePairs(text string) map[string]string {
	out := map[string]string{}
	for part := range strings.SplitSeq(text, separator) {
		if name, value, ok := strings.Cut(part, "="); ok {
			out[name] = value
		}
	}
	return out
}

func formatRate(perSecond float64) string {
	return strconv.FormatFloat(perSecond, 'g', -1, 64)
}

// parseRate returns a rate, and whether the text is a finite number of at least zero.
func parseRate(text string) (float64, bool) {
	rate, err := strconv.ParseFloat(text, 64)
	return rate, err == nil && rate >= 0 && !math.IsInf(rate, 0)
}
