#!/bin/sh
exec java ${JACKDAWDALE_JAVA_OPTS:--Xmx160m -XX:+UseSerialGC -XX:TieredStopAtLevel=4} -jar "$0" "$@"
