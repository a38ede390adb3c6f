// As promo_block.wat: refuses requests whose X-Promo-Code is one of those in config.codes.
import { count, header, refuse, setting, verdict } from "../../../plovertrail/hooks/templates/plovertrail";
export { plovertrail_abi, plovertrail_buffer, plovertrail_buffer_size } from "../../../plovertrail/hooks/templates/plovertrail";

export function on_request(): i32 {
  const code = header("x-promo-code");
  if (code != "" && setting("codes").split(",").includes(code)) {
    refuse(403, "this promo code is over");
    count("blocked");
  }
  return verdict();
}
