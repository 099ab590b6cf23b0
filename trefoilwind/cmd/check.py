"""Program `trefoilwind-check`: validates files without a node."""

import dataclasses

import cyclopts

from trefoilwind import errors
from trefoilwind import settings as settings_lib
from trefoilwind.cmd import common
from trefoilwind.model import mesh
from trefoilwind.routing import regions
from trefoilwind.routing import route_validation

_STEP = "evacuations.check"

app = cyclopts.App(help="Check settings and configuration offline.")


@app.command
def settings(file: str) -> None:
    """Check a node's settings.

    Args:
        file: Settings file, JSON with comments.
    """
    common.unwrap(settings_lib.load(file, settings_lib.NodeSettings))
    print(f"{file}: correct")


@app.command
def configuration(file: str) -> None:
    """Check a configuration.

    Args:
        file: Configuration file, JSON with comments.
    """
    common.load_configuration(file)
    print(f"{file}: correct")


@app.command
def routes(file: str) -> None:
    """Check a configuration with routes by host.

    Args:
        file: Configuration file, JSON with comments.
    """
    loaded = common.unwrap(settings_lib.load(file, mesh.MeshConfiguration))
    common.check_problems(route_validation.validate(loaded), file)
    print(f"{file}: correct")


@dataclasses.dataclass(frozen=True)
class DataCentre:
    """A data centre of the mesh.

    Attributes:
        name: Name of the data centre.
        region: Region in which it is.
    """

    name: str
    region: str


@dataclasses.dataclass(frozen=True)
class EvacuationPlan:
    """Content of a file that plans evacuations.

    Attributes:
        data_centres: Data centres of the mesh.
        evacuated: Data centres that are to be evacuated.
    """

    data_centres: tuple[DataCentre, ...]
    evacuated: tuple[str, ...]


@app.command
def evacuations(file: str, routes_file: str) -> None:
    """Check planned evacuations and the regions that they leave to routes.

    Args:
        file: File with `data_centres` and `evacuated`, JSON with comments.
        routes_file: Configuration file with routes, JSON with comments.
    """
    plan = common.unwrap(settings_lib.load(file, EvacuationPlan))
    loaded = common.unwrap(
        settings_lib.load(routes_file, mesh.MeshConfiguration)
    )
    common.check_problems(_problems_of_plan(plan, loaded), file)
    print(f"{file}: correct")


def _problems_of_plan(
    plan: EvacuationPlan, configuration: mesh.MeshConfiguration
) -> tuple[errors.SettingsError, ...]:
    undefined = errors.Reason.UNDEFINED_REFERENCE
    region_of = {each.name: each.region for each in plan.data_centres}
    problems = [
        errors.SettingsError(undefined, _STEP, "", name, "evacuated")
        for name in plan.evacuated
        if name not in region_of
    ]
    known = region_of.values()
    problems += [
        errors.SettingsError(undefined, _STEP, "", text, "allowed_regions")
        for text in regions.unknown_regions(configuration, known)
    ]
    remaining = {
        region
        for name, region in region_of.items()
        if name not in plan.evacuated
    }
    problems += [
        errors.SettingsError(
            errors.Reason.OUT_OF_RANGE,
            _STEP,
            "",
            f"no data centre is left to {text}",
            "evacuated",
        )
        for text in regions.without_region(configuration, remaining)
    ]
    return tuple(problems)


def main() -> None:
    """Run the program."""
    common.run(app)


if __name__ == "__main__":
    main()
