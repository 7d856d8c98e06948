// Package quarantine decides from the crash reports on the control stream which
// requests may run. A request is identified by its fingerprint.
//
// # Rules
//
// The death of a server is one incident, which covers every fingerprint that was
// in flight on the server. Reports about one server belong to one incident when
// the times of their records are at most Config.ReportWindow apart, whichever
// instances wrote them. An incident is settled once its report window is over.
//
//   - A fingerprint that was in flight in an unexplained incident is a Suspect: it
//     runs alone on a server.
//   - A fingerprint in two or more unexplained incidents is Held: it is not run.
//     When one of these incidents has settled and every other fingerprint in it has
//     run to completion since, the fingerprint is Quarantined. Otherwise it becomes
//     a Suspect again after Config.HoldDuration.
//   - A quarantine explains all incidents of its fingerprint: other fingerprints
//     are no longer suspected because of them.
//   - A Suspect that ran alone to completion is Clear.
//
// These rules require that instances run a Suspect alone, and that they dispatch a
// request that was in flight on a dead server again only after they have read its
// report back. A request that crashes every server then takes down two servers: it
// may share the first one, is alone on the second one, and does not run again. A
// request that crashes no server is never alone on a server that another request
// crashes, so it is not quarantined for sharing a server.
//
// The rules cannot prevent crashes by copies of a request that are in flight on
// several servers at once, because they act only after a report. Holding the
// request limits the further deaths.
package quarantine
