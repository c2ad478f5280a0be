"""Location of a process."""

from dataclasses import dataclass

from bramleyport.core._ids import RegionName, ZoneName


@dataclass(frozen=True, slots=True, kw_only=True)
class Place:
    """Identify the zone and region of a process."""

    zone: ZoneName
    region: RegionName
