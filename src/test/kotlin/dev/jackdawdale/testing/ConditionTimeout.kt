package dev.jackdawdale.testing

import kotlin.time.Duration.Companion.seconds

/** How long a test waits for a condition. It is long because no test result depends on speed. */
internal val conditionTimeout = 20.seconds
