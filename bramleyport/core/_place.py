"""Where a process runs."""

from dataclasses import dataclass

from bramleyport.core._ids import RegionName, ZoneName


@dataclass(frozen=True, slots=True, kw_only=True)
class Place:
    """Name the zone and region of a process."""

    zone: ZoneName
    region: RegionName
