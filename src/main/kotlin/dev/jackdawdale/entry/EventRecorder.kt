package dev.jackdawdale.entry

import dev.jackdawdale.timeline.EventKind

/** Records an event of the entry role on this process's timeline. */
internal typealias EventRecorder = (kind: EventKind, subject: String, details: String) -> Unit
