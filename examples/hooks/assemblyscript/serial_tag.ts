// As serial_tag.wat: tags requests for /serials/NAME/... with X-Serial: NAME.
import { count, path, setHeader, verdict } from "../../../plovertrail/hooks/templates/plovertrail";
export { plovertrail_abi, plovertrail_buffer, plovertrail_buffer_size } from "../../../plovertrail/hooks/templates/plovertrail";

export function on_request(): i32 {
  const parts = path().split("/");
  if (parts.length > 2 && parts[1] == "serials" && parts[2] != "") {
    count("tagged");
    setHeader("X-Serial", parts[2]);
  }
  return verdict();
}
