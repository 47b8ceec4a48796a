package dev.jackdawdale.testing

import kotlin.time.Duration.Companion.seconds

/** How long a test waits for a condition; long, because no verdict depends on the speed. */
internal val patience = 20.seconds
